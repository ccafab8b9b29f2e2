import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { createListingHistory, recordListed, recordRemoved } from "@pomeloturn/merge-listing/ListingHistory";
import { mergeListing, type MergeOptions } from "@pomeloturn/merge-listing/mergeListing";
import { isSettlingDue, settleListing } from "@pomeloturn/merge-listing/settleListing";
import { recordClaim, recordRemoval } from "@pomeloturn/replace-primary/knownLeader";
import type { InstanceEntry, RouteEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";
import { InstanceRuntime } from "./InstanceRuntime.ts";
import { ServiceRuntime } from "./ServiceRuntime.ts";

/** Connection limit of an instance when the configuration has none for its service. */
const DEFAULT_CONNECTION_LIMIT = 8;

/** Creates the connection pool of an instance. */
export type PoolFactory = (entry: InstanceEntry) => InstancePool;

const isSameInstance = (a: InstanceEntry, b: InstanceEntry): boolean =>
    a.host === b.host && a.port === b.port && a.service === b.service && a.startedAtMs === b.startedAtMs;

/** Services, instances and routes that this VM knows. */
export class ServiceDirectory {
    readonly services = new Map<string, ServiceRuntime>();
    private routeTable: RouteTable | undefined;
    private vmCount = 1;
    private readonly history = createListingHistory();

    private constructor(private readonly createPool: PoolFactory) {}

    static create(createPool: PoolFactory): ServiceDirectory {
        return new ServiceDirectory(createPool);
    }

    /** Routes of the newest configuration; undefined before the first one arrives. */
    get routes(): RouteTable | undefined {
        return this.routeTable;
    }

    findRoute(database: string): RouteEntry | undefined {
        return this.routeTable?.routes.get(database);
    }

    /** Applies a configuration if it is newer than the active one. @returns whether it was applied */
    applyRoutes(table: RouteTable): boolean {
        if (this.routeTable !== undefined && table.version <= this.routeTable.version) {
            return false;
        }
        this.routeTable = table;
        this.updatePoolLimits();
        return true;
    }

    setVmCount(vmCount: number): void {
        this.vmCount = vmCount;
        this.updatePoolLimits();
    }

    /** Adds or updates an instance. */
    applyEntry(entry: InstanceEntry): void {
        this.removeFromOtherServices(entry);
        const service = this.findOrCreateService(entry.service);
        const known = service.instances.get(entry.id);
        if (known !== undefined && isSameInstance(known.entry, entry)) {
            known.entry = entry;
        }
        else {
            known?.pool.close("the instance was replaced by a new one");
            service.instances.set(entry.id, InstanceRuntime.create(entry, this.createPool(entry)));
        }
        recordListed(this.history, entry.id);
        recordClaim(service.knownLeader, entry.id, entry.isPrimary, entry.writtenAt);
        this.updatePoolLimits();
        service.notifyWaiters();
    }

    /** Removes an instance that is no longer listed or whose entry cannot be read. */
    removeInstance(id: string): void {
        for (const service of this.services.values()) {
            const instance = service.instances.get(id);
            if (instance !== undefined) {
                service.instances.delete(id);
                recordRemoved(this.history, instance.entry);
                instance.pool.retire("the instance is no longer listed");
                recordRemoval(service.knownLeader, id);
                service.notifyWaiters();
            }
        }
    }

    /**
     * Takes over the complete listing of a store that was restored from an older copy. Entries that are older than the known
     * ones, or missing, do not count until `settleEntries` finds that their instances have not reported again.
     *
     * @param nowMs monotonic time in milliseconds
     */
    mergeEntries(listing: readonly InstanceEntry[], options: MergeOptions, nowMs: number): void {
        const instances = [...this.services.values()].flatMap(service => [...service.instances.values()]);
        const known = new Map(instances.map(({ entry }) => [entry.id, entry]));
        const used = mergeListing(this.history, known, listing, options, nowMs);
        used.filter(entry => entry !== known.get(entry.id)).forEach(entry => this.applyEntry(entry));
    }

    /**
     * Applies what a restored store shows of instances that have not reported again in time.
     *
     * @param listing complete listing of the restored store
     * @param nowMs monotonic time in milliseconds at which the read of the listing began
     * @returns the ids of the instances
     */
    settleEntries(listing: readonly InstanceEntry[], nowMs: number): readonly string[] {
        const settled = settleListing(this.history, listing, nowMs);
        for (const [id, entry] of settled) {
            if (entry === undefined) {
                this.removeInstance(id);
            }
            else {
                this.applyEntry(entry);
            }
        }
        return [...settled.keys()];
    }

    /** Whether the listing has to be read again for `settleEntries`. */
    isSettlingDue(nowMs: number): boolean {
        return isSettlingDue(this.history, nowMs);
    }

    /** Whether a restored store is not believed yet about some instances. */
    get isUnsettled(): boolean {
        return this.history.unsettled.size > 0;
    }

    /** Replaces all entries with a complete listing. */
    replaceEntries(entries: readonly InstanceEntry[]): void {
        const listed = new Set(entries.map(({ id }) => id));
        const known = [...this.services.values()].flatMap(service => [...service.instances.keys()]);
        known.filter(id => !listed.has(id)).forEach(id => this.removeInstance(id));
        entries.forEach(entry => this.applyEntry(entry));
    }

    /** Runs the periodic maintenance of all pools. */
    tick(): void {
        for (const { instances } of this.services.values()) {
            for (const { pool } of instances.values()) {
                pool.tick();
            }
        }
    }

    /** Whether requests can be served: routes are known and at least one service has a primary. */
    get isServing(): boolean {
        return this.routeTable !== undefined && [...this.services.values()].some(({ leader }) => leader !== undefined);
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

    private removeFromOtherServices(entry: InstanceEntry): void {
        for (const service of this.services.values()) {
            if (service.name !== entry.service && service.instances.has(entry.id)) {
                this.removeInstance(entry.id);
            }
        }
    }

    private updatePoolLimits(): void {
        for (const service of this.services.values()) {
            const limit = this.routeTable?.services.get(service.name)?.connectionLimit ?? DEFAULT_CONNECTION_LIMIT;
            for (const { pool } of service.instances.values()) {
                pool.setLimit(limit, this.vmCount);
                pool.warmUp();
            }
        }
    }
}
