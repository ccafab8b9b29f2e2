import { InstanceStore, type RowChange } from "./InstanceStore.ts";

/** Faults of an instance that a test can set. */
export interface InstanceFaults {
    /** Added to the replication lag of a replica. */
    lagMs: number;
    /** Whether replication to and from the instance is interrupted. */
    isReplicationCut: boolean;
    /** Names of VMs that are partitioned from the instance: neither side receives data. */
    cutVms: readonly string[];
    isStopped: boolean;
    /** Added to the time of each response. */
    answerDelayMs: number;
}

const START_POSITION = 0x1_000_000;

/** State of a simulated database server: role, log, upstream, row locks and slots. */
export class DatabaseInstance {
    store = InstanceStore.create(START_POSITION);
    timeline = 1;
    isReplica: boolean;
    upstream: string;
    /** Session that holds each locked row, by table and key. */
    readonly locks = new Map<string, object>();
    readonly faults: InstanceFaults = { lagMs: 0, isReplicationCut: false, cutVms: [], isStopped: false, answerDelayMs: 0 };
    /** Number of statements that occupy a slot. */
    executingCount = 0;
    /** Resume functions of the statements that wait for a slot, oldest first. */
    readonly slotWaiters: (() => void)[] = [];
    /** Called when the faults change. */
    onFaultsChanged: () => void = () => undefined;

    private constructor(readonly name: string, readonly slots: number, readonly statementTimeMs: number, primary: string) {
        this.isReplica = name !== primary;
        this.upstream = this.isReplica ? primary : "";
    }

    static create(name: string, slots: number, statementTimeMs: number, primary: string): DatabaseInstance {
        return new DatabaseInstance(name, slots, statementTimeMs, primary);
    }

    /** Ends recovery: starts a new timeline at the current position. No effect on a primary. */
    promote(): void {
        if (this.isReplica) {
            this.isReplica = false;
            this.upstream = "";
            this.timeline++;
        }
    }

    /** Discards the log and replicates another instance from the start of its log. */
    rebuild(upstream: string): void {
        this.store = InstanceStore.create(START_POSITION);
        this.isReplica = true;
        this.upstream = upstream;
    }

    commit(changes: readonly RowChange[], nowMs: number): void {
        if (changes.length > 0) {
            this.store.commit(changes, this.timeline, nowMs);
        }
    }

    /** Applies the upstream's entries that are at least as old as the lag. A replica whose log has diverged applies none. */
    replicate(upstream: DatabaseInstance, baseLagMs: number, nowMs: number): void {
        if (
            this.faults.isReplicationCut || upstream.faults.isReplicationCut || upstream.faults.isStopped
            || !this.store.isPrefixOf(upstream.store)
        ) {
            return;
        }
        this.timeline = upstream.timeline;
        const lagMs = baseLagMs + this.faults.lagMs;
        for (let index = this.store.log.length; index < upstream.store.log.length; index++) {
            const entry = upstream.store.log[index]!;
            if (entry.committedAtMs + lagMs > nowMs) {
                break;
            }
            this.store.apply(entry);
        }
    }
}
