import { ChangeSignal } from "@pomeloturn/clock/ChangeSignal";
import type { ReadTimes } from "@pomeloturn/follow-table/chooseReadTimes";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { isAtOrAfterPoint } from "@pomeloturn/store-point/isAtOrAfterPoint";
import type { RowsAnswer, StorePoint, TableReader } from "@pomeloturn/types/StoreRow";
import { chooseRelay, orderRelays, type TableSource } from "./chooseRelay.ts";
import { RelayClient } from "./RelayClient.ts";
import type { RelayMember } from "./RelayMember.ts";
import { RelayStatus } from "./relayMessages.ts";
import type { RelaySource } from "./RelayServer.ts";
import { TableCache } from "./TableCache.ts";

export interface RelayedTableReaderOptions {
    readonly store: TableReader;
    readonly vm: string;
    readonly failureDomain: string;
    /** Time limits of calls to the store while this VM relays a table; they bound how old the relayed table may be. */
    readonly storeTimes: (table: string) => ReadTimes;
    /** Time limits of calls to a relay. */
    readonly relayTimes: ReadTimes;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    readonly logger: ProcessLogger;
}

/** Time for which a relay that failed is not asked. Doubles with each further failure, as the VM may be gone for good. */
const FAILED_RELAY_MS = 4_000;
const LONGEST_FAILED_RELAY_MS = 64_000;
/** Time for which no relay is asked after one did not relay, so that the next one in order can notice it too. */
const UNAVAILABLE_PAUSE_MS = 1_000;
/** Longest wait of a call to the store before it is known which VM relays. */
const UNDECIDED_WAIT_MS = 1_000;
/** Point before all points at which a table can be read. */
const BEFORE_FIRST_READ: StorePoint = { era: 0, version: 0 };

/** Reads tables of the store through the relay of this VM's failure domain, or at the store. Serves as the source of this VM's own relay. */
export class RelayedTableReader implements TableReader, RelaySource {
    private readonly caches = new Map<string, TableCache>();
    private readonly changes = ChangeSignal.create();
    private readonly failedUntilMs = new Map<string, number>();
    /** Failures of each relay since its last answer. */
    private readonly failureCounts = new Map<string, number>();
    private ordered: readonly RelayMember[] = [];
    private relay: { readonly member: RelayMember; readonly client: RelayClient; } | undefined;
    /** Newest point at which this VM has seen each table. */
    private readonly newestPoints = new Map<string, StorePoint>();
    /** Monotonic time in milliseconds until which no relay is asked. */
    private pausedUntilMs = -Infinity;
    private loggedSource = "";

    private constructor(private readonly options: RelayedTableReaderOptions) {}

    static create(options: RelayedTableReaderOptions): RelayedTableReader {
        return new RelayedTableReader(options);
    }

    /** Sets the registered VMs, among which a relay is chosen. */
    setMembers(members: Iterable<RelayMember>): void {
        this.ordered = orderRelays(members, this.options.failureDomain);
    }

    async readTable(table: string): Promise<RowsAnswer> {
        const relayed = await this.readRelay(table, undefined, this.options.relayTimes.waitMs) ?? undefined;
        // A relay that lags behind would bring back rows whose deletion this VM has already seen.
        const isRecent = relayed !== undefined && isAtOrAfterPoint(relayed, this.newestPoint(table));
        return this.recordPoint(table, isRecent ? relayed : await this.readTableAtStore(table));
    }

    async readChanges(table: string, after: StorePoint, waitMs: number): Promise<RowsAnswer | undefined> {
        const relayed = await this.readRelay(table, after, Math.min(waitMs, this.options.relayTimes.waitMs));
        const answer = relayed === undefined ? await this.readChangesAtStore(table, after, waitMs) : relayed ?? undefined;
        return answer === undefined ? undefined : this.recordPoint(table, answer);
    }

    private newestPoint(table: string): StorePoint {
        return this.newestPoints.get(table) ?? BEFORE_FIRST_READ;
    }

    private recordPoint(table: string, answer: RowsAnswer): RowsAnswer {
        if (isAtOrAfterPoint(answer, this.newestPoint(table))) {
            this.newestPoints.set(table, { era: answer.era, version: answer.version });
        }
        return answer;
    }

    find(table: string): TableCache | undefined {
        return this.source().kind === "relaying" ? this.caches.get(table) : undefined;
    }

    isLoading(table: string): boolean {
        return this.ordered.length === 0 || (this.source().kind === "relaying" && !this.caches.has(table));
    }

    waitForChange(waitMs: number): Promise<void> {
        return this.changes.wait(waitMs);
    }

    /** Declares all tables not recent, as after a suspension of this VM. */
    invalidate(): void {
        this.caches.forEach(cache => cache.invalidate());
        this.changes.notify();
    }

    private source(): TableSource {
        return chooseRelay(this.ordered, this.options.vm, this.failedUntilMs, this.options.nowMs());
    }

    /** @returns undefined when no relay answered; null when the relay no longer knows the changes since the version */
    private async readRelay(table: string, after: StorePoint | undefined, waitMs: number): Promise<RowsAnswer | null | undefined> {
        const source = this.source();
        this.logSource(source);
        if (source.kind !== "relay" || this.options.nowMs() < this.pausedUntilMs) {
            return undefined;
        }
        try {
            const { status, rows, era, version } = await this.connectTo(source.member).read(table, after, waitMs);
            if (status === RelayStatus.Unavailable || era === undefined) {
                this.pausedUntilMs = this.options.nowMs() + UNAVAILABLE_PAUSE_MS;
                this.recordFailure(source.member, table, "the VM does not relay the table now");
                return undefined;
            }
            this.failureCounts.delete(source.member.vm);
            return status === RelayStatus.Gone ? null : { rows, era, version };
        }
        catch (error) {
            this.recordFailure(source.member, table, (error as Error).message);
            return undefined;
        }
    }

    private recordFailure({ vm }: RelayMember, table: string, reason: string): void {
        const nowMs = this.options.nowMs();
        if ((this.failedUntilMs.get(vm) ?? -Infinity) > nowMs) {
            // Calls that were outstanding together fail together.
            return;
        }
        const failureCount = this.failureCounts.get(vm) ?? 0;
        this.failureCounts.set(vm, failureCount + 1);
        this.failedUntilMs.set(vm, nowMs + Math.min(LONGEST_FAILED_RELAY_MS, FAILED_RELAY_MS * 2 ** failureCount));
        this.options.logger.info("a table cannot be read through the relay; it is read at the store", { relay: vm, table, reason });
    }

    private connectTo(member: RelayMember): RelayClient {
        if (this.relay?.member.relayAddress !== member.relayAddress || this.relay?.client.isClosed !== false) {
            this.relay?.client.fail("another relay is used");
            this.relay = { member, client: RelayClient.create(member.relayAddress!, this.options.relayTimes.marginMs) };
        }
        return this.relay.client;
    }

    private async readTableAtStore(table: string): Promise<RowsAnswer> {
        const askedAtMs = this.options.nowMs();
        const answer = await this.options.store.readTable(table);
        const { waitMs, marginMs } = this.options.storeTimes(table);
        const cache = new TableCache(waitMs + marginMs);
        cache.applyTable(answer, askedAtMs);
        this.caches.set(table, cache);
        this.changes.notify();
        return answer;
    }

    private async readChangesAtStore(table: string, after: StorePoint, waitMs: number): Promise<RowsAnswer | undefined> {
        const isRelaying = this.source().kind === "relaying";
        const limitMs = Math.min(
            waitMs,
            this.ordered.length === 0 ? UNDECIDED_WAIT_MS : isRelaying ? this.options.storeTimes(table).waitMs : Infinity,
        );
        const cache = this.caches.get(table);
        const knownFrom = cache?.knownPoint;
        const answer = await this.options.store.readChanges(table, after, limitMs);
        if (answer === undefined || knownFrom === undefined || knownFrom.era !== after.era || knownFrom.version < after.version) {
            // The cache lacks changes that a relay has answered meanwhile; it is filled again by the next read of the table.
            this.caches.delete(table);
        }
        else {
            cache!.applyChanges(answer, this.options.nowMs());
        }
        this.changes.notify();
        return answer === undefined || (isRelaying && !this.caches.has(table)) ? undefined : answer;
    }

    private logSource(source: TableSource): void {
        const text = source.kind === "relay" ? source.member.vm : source.kind;
        if (text !== this.loggedSource) {
            this.loggedSource = text;
            this.options.logger.info("the source of the store's tables has changed", { source: text });
        }
    }
}
