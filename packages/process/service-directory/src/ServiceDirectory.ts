import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { recordClaim, recordRemoval } from "@pomeloturn/replace-primary/knownLeader";
import type { InstanceEntry, RouteEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";
import { InstanceRuntime } from "./InstanceRuntime.ts";
import { ServiceRuntime } from "./ServiceRuntime.ts";

/** Connections to an instance when no configuration states a limit. */
const DEFAULT_CONNECTION_LIMIT = 8;

/** Makes the pool of an instance's connections. */
export type PoolFactory = (entry: InstanceEntry) => InstancePool;

const isSameInstance = (a: InstanceEntry, b: InstanceEntry): boolean =>
    a.host === b.host && a.port === b.port && a.service === b.service && a.bornAtMs === b.bornAtMs;

/** Services, instances and routes as far as this VM knows them. */
export class ServiceDirectory {
    readonly services = new Map<string, ServiceRuntime>();
    private table: RouteTable | undefined;
    private vmCount = 1;

    private constructor(private readonly createPool: PoolFactory) {}

    static create(createPool: PoolFactory): ServiceDirectory {
        return new ServiceDirectory(createPool);
    }

    /** The newest configuration; undefined before the first. */
    get routes(): RouteTable | undefined {
        return this.table;
    }

    findRoute(database: string): RouteEntry | undefined {
        return this.table?.routes.get(database);
    }

    /** Takes a configuration unless a newer one is in force. @returns whether it was taken */
    adoptRoutes(table: RouteTable): boolean {
        if (this.table !== undefined && table.version <= this.table.version) {
            return false;
        }
        this.table = table;
        this.shareConnections();
        return true;
    }

    setVmCount(vmCount: number): void {
        this.vmCount = vmCount;
        this.shareConnections();
    }

    /** Adds or renews an instance. */
    applyEntry(entry: InstanceEntry): void {
        this.dropFromOthers(entry);
        const service = this.findOrCreateService(entry.service);
        const known = service.instances.get(entry.id);
        if (known !== undefined && isSameInstance(known.entry, entry)) {
            known.entry = entry;
        }
        else {
            known?.pool.close("the instance started anew");
            service.instances.set(entry.id, InstanceRuntime.create(entry, this.createPool(entry)));
        }
        recordClaim(service.belief, entry.id, entry.isPrimary, entry.revision);
        this.shareConnections();
        service.wakeWaiters();
    }

    /** The instance is not listed any more, or its entry cannot be read. */
    removeInstance(id: string): void {
        for (const service of this.services.values()) {
            const instance = service.instances.get(id);
            if (instance !== undefined) {
                service.instances.delete(id);
                instance.pool.retire("the instance is gone");
                recordRemoval(service.belief, id);
                service.wakeWaiters();
            }
        }
    }

    /** Replaces all entries by a complete listing. */
    replaceEntries(entries: readonly InstanceEntry[]): void {
        const listed = new Set(entries.map(({ id }) => id));
        const known = [...this.services.values()].flatMap(service => [...service.instances.keys()]);
        known.filter(id => !listed.has(id)).forEach(id => this.removeInstance(id));
        entries.forEach(entry => this.applyEntry(entry));
    }

    /** Regular upkeep of all pools. */
    tick(): void {
        for (const { instances } of this.services.values()) {
            for (const { pool } of instances.values()) {
                pool.tick();
            }
        }
    }

    /** Whether requests can be served: routes are known and a service has a primary. */
    get isServing(): boolean {
        return this.table !== undefined && [...this.services.values()].some(({ leader }) => leader !== undefined);
    }

    private findOrCreateService(name: string): ServiceRuntime {
        const known = this.services.get(name);
        if (known !== undefined) {
            return known;
        }
        const service = ServiceRuntime.create(name);
        this.services.set(name, service);
        return service;
    }

    private dropFromOthers(entry: InstanceEntry): void {
        for (const service of this.services.values()) {
            if (service.name !== entry.service && service.instances.has(entry.id)) {
                this.removeInstance(entry.id);
            }
        }
    }

    private shareConnections(): void {
        for (const service of this.services.values()) {
            const limit = this.table?.services.get(service.name)?.connectionLimit ?? DEFAULT_CONNECTION_LIMIT;
            for (const { pool } of service.instances.values()) {
                pool.setLimit(limit, this.vmCount);
                pool.warm();
            }
        }
    }
}
