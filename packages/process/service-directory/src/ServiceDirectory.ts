import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { createListingHistory, recordListed, recordRemoved } from "@pomeloturn/merge-listing/ListingHistory";
import { mergeListing, type MergeOptions } from "@pomeloturn/merge-listing/mergeListing";
import { isSettlingDue, settleListing } from "@pomeloturn/merge-listing/settleListing";
import { recordAnswered, recordClaim, recordRemoval } from "@pomeloturn/replace-primary/knownLeader";
import type { InstanceEntry, RouteEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";
import { InstancePacing, type PaceSummary, type PacingPorts } from "./InstancePacing.ts";
import { InstanceRuntime } from "./InstanceRuntime.ts";
import { isSameInstance } from "./isSameInstance.ts";
import { createMisroutedEntries, isMisrouted, recordMisrouted, takeDueChecks } from "./MisroutedEntries.ts";
import { ServiceRuntime } from "./ServiceRuntime.ts";

/** Connection limit of an instance when the configuration has none for its service. */
const DEFAULT_CONNECTION_LIMIT = 8;

/** Answers to a start-up message that show that the instance is not at the address: of another instance, or of another program. */
const OTHER_PROCESS_CODES: ReadonlySet<number> = new Set<number>([
    ResultCode.WrongInstance,
    ResultCode.UnknownService,
    ResultCode.MalformedMessage,
]);

/** Delay between two checks whether an instance whose claim to be the primary does not count yet is at its address. */
const CLAIMANT_CHECK_INTERVAL_MS = 500;

/** Creates the connection pool of an instance. @param pacing pacing of its openings; undefined where it is off */
export type PoolFactory = (entry: InstanceEntry, pacing: InstancePacing | undefined) => InstancePool;

/** Services, instances and routes that this VM knows. */
export class ServiceDirectory {
    readonly services = new Map<string, ServiceRuntime>();
    private routeTable: RouteTable | undefined;
    /** Services that a configuration has named since the start of the process. */
    private readonly namedServices = new Set<string>();
    /** Entries of services that no configuration has named, by id. */
    private readonly unusedEntries = new Map<string, InstanceEntry>();
    /** Entries at whose address another instance answers. */
    private readonly misrouted = createMisroutedEntries();
    private vmCount = 1;
    private readonly history = createListingHistory();

    private constructor(private readonly createPool: PoolFactory, private readonly findPacingPorts: () => PacingPorts | undefined) {}

    /** @param findPacingPorts returns the ports of the pacing by answers, or undefined where it is off */
    static create(createPool: PoolFactory, findPacingPorts: () => PacingPorts | undefined = () => undefined): ServiceDirectory {
        return new ServiceDirectory(createPool, findPacingPorts);
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
        table.services.forEach(({ name }) => this.namedServices.add(name));
        table.routes.forEach(({ service }) => this.namedServices.add(service));
        [...this.unusedEntries.values()].filter(({ service }) => this.namedServices.has(service)).forEach(entry => this.applyEntry(entry));
        this.updatePoolLimits();
        return true;
    }

    setVmCount(vmCount: number): void {
        this.vmCount = vmCount;
        this.updatePoolLimits();
    }

    /**
     * Adds or updates an instance. It is not used as long as no configuration has named its service, or another instance
     * answers at its address.
     */
    applyEntry(entry: InstanceEntry): void {
        this.removeFromOtherServices(entry);
        recordListed(this.history, entry.id);
        if (!this.namedServices.has(entry.service) || isMisrouted(this.misrouted, entry)) {
            this.unusedEntries.set(entry.id, entry);
            return;
        }
        this.unusedEntries.delete(entry.id);
        const service = this.findOrCreateService(entry.service);
        const known = service.instances.get(entry.id);
        if (known !== undefined && isSameInstance(known.entry, entry)) {
            if (entry.isPrimary && !known.entry.isPrimary) {
                known.pacing?.recordStart(entry.slots, this.vmCount);
            }
            known.entry = entry;
        }
        else {
            known?.retire("the instance was replaced by a new one");
            service.knownLeader.answeredIds.delete(entry.id);
            service.instances.set(entry.id, this.createInstance(entry));
        }
        recordClaim(service.knownLeader, entry.id, entry.isPrimary, entry.writtenAt);
        this.updatePoolLimits();
        service.notifyWaiters();
    }

    /** Removes an instance that is no longer listed or whose entry cannot be read. */
    removeInstance(id: string): void {
        const unused = this.unusedEntries.get(id);
        if (unused !== undefined) {
            this.unusedEntries.delete(id);
            recordRemoved(this.history, unused);
        }
        this.misrouted.delete(id);
        for (const service of this.services.values()) {
            const instance = service.instances.get(id);
            if (instance !== undefined) {
                recordRemoved(this.history, instance.entry);
                this.takeOutOfUse(service, instance, "the instance is no longer listed");
            }
        }
    }

    /**
     * Records the answer to the start-up message of a connection that was opened for an entry. If another instance answers
     * at the address, the entry names no instance to use until a later check shows otherwise or the entry changes.
     *
     * @param code result code of the answer
     * @param nowMs monotonic time in milliseconds
     * @returns whether the entry was taken out of use
     */
    recordStartup(entry: InstanceEntry, code: number, nowMs: number): boolean {
        const isOther = OTHER_PROCESS_CODES.has(code);
        if (!isOther && code !== ResultCode.Ok) {
            return false;
        }
        const service = this.services.get(entry.service);
        const instance = service?.instances.get(entry.id);
        const current = instance?.entry ?? this.unusedEntries.get(entry.id);
        if (current === undefined || !isSameInstance(current, entry)) {
            return false;
        }
        if (isOther) {
            recordMisrouted(this.misrouted, current, nowMs);
            this.unusedEntries.set(entry.id, current);
            if (service !== undefined && instance !== undefined) {
                this.takeOutOfUse(service, instance, "another instance answers at the address");
            }
            return instance !== undefined;
        }
        if (this.misrouted.delete(entry.id)) {
            this.applyEntry(current);
        }
        const knownLeader = this.services.get(entry.service)?.knownLeader;
        if (knownLeader !== undefined && !knownLeader.answeredIds.has(entry.id)) {
            recordAnswered(knownLeader, entry.id);
            this.services.get(entry.service)!.notifyWaiters();
        }
        return false;
    }

    /**
     * Returns the entries to which a connection has to be opened to find out whether the instance is at its address: those
     * at whose address another one has answered, and those whose claim to be the primary waits for an answer.
     *
     * @param nowMs monotonic time in milliseconds
     */
    takeDueChecks(nowMs: number): readonly InstanceEntry[] {
        const claimants: InstanceEntry[] = [];
        for (const { knownLeader, instances } of this.services.values()) {
            for (const id of knownLeader.claims.keys()) {
                const instance = instances.get(id);
                const isWaiting = !knownLeader.answeredIds.has(id) && knownLeader.leaderId !== id;
                if (instance !== undefined && isWaiting && nowMs >= instance.nextCheckAtMs) {
                    instance.nextCheckAtMs = nowMs + CLAIMANT_CHECK_INTERVAL_MS;
                    claimants.push(instance.entry);
                }
            }
        }
        return [...claimants, ...takeDueChecks(this.misrouted, nowMs)];
    }

    /** Returns the last entry of an instance, be it in use or not. */
    findEntry(id: string): InstanceEntry | undefined {
        return this.unusedEntries.get(id)
            ?? [...this.services.values()].find(({ instances }) => instances.has(id))?.instances.get(id)?.entry;
    }

    /** Whether another instance answers at the address of an entry. */
    isMisrouted(id: string): boolean {
        return this.misrouted.has(id);
    }

    /**
     * Takes over the complete listing of a store that was restored from an older copy. Entries that are older than the known
     * ones, or missing, do not count until `settleEntries` finds that their instances have not reported again.
     *
     * @param nowMs monotonic time in milliseconds
     */
    mergeEntries(listing: readonly InstanceEntry[], options: MergeOptions, nowMs: number): void {
        const known = this.listKnownEntries();
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
        const known = [...this.listKnownEntries().keys()];
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

    /** Lists the paces of the instances; empty where pacing by answers is off. */
    listPaces(): readonly PaceSummary[] {
        return [...this.services.values()].flatMap(({ name, instances }) =>
            [...instances].flatMap(([id, { pacing }]) => pacing === undefined ? [] : [pacing.summarize(name, id)])
        );
    }

    /** Returns all entries, used or not, by id. */
    private listKnownEntries(): Map<string, InstanceEntry> {
        const used = [...this.services.values()].flatMap(service => [...service.instances.values()].map(({ entry }) => entry));
        return new Map([...used, ...this.unusedEntries.values()].map(entry => [entry.id, entry]));
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

    private createInstance(entry: InstanceEntry): InstanceRuntime {
        const ports = this.findPacingPorts();
        const pacing = ports && InstancePacing.create(ports);
        pacing?.recordStart(entry.slots, this.vmCount);
        return InstanceRuntime.create(entry, this.createPool(entry, pacing), pacing);
    }

    private takeOutOfUse(service: ServiceRuntime, instance: InstanceRuntime, reason: string): void {
        service.instances.delete(instance.entry.id);
        instance.retire(reason);
        recordRemoval(service.knownLeader, instance.entry.id);
        service.notifyWaiters();
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
                if (this.routeTable?.teams === undefined) {
                    // A connection serves one team, which is not known in advance.
                    pool.warmUp();
                }
            }
        }
    }
}
