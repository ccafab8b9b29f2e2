import { InstanceStore, type RowChange } from "./InstanceStore.ts";

/** Faults of one instance that a test can set. */
export interface InstanceFaults {
    /** Added to the replication of a replica. */
    lagMs: number;
    /** Whether replication to and from the instance is cut. */
    isReplicationCut: boolean;
    /** Names of VMs that cannot exchange a byte with the instance. */
    cutVms: readonly string[];
    isStopped: boolean;
    /** Answers arrive this much later. */
    answerDelayMs: number;
}

const START_POSITION = 0x1_000_000;

/** A database server: its role, its log and what it replicates from. */
export class DatabaseInstance {
    store = InstanceStore.create(START_POSITION);
    timeline = 1;
    isReplica: boolean;
    upstream: string;
    /** Transaction that holds each locked row. */
    readonly locks = new Map<string, object>();
    readonly faults: InstanceFaults = { lagMs: 0, isReplicationCut: false, cutVms: [], isStopped: false, answerDelayMs: 0 };
    executing = 0;
    readonly waiting: (() => void)[] = [];
    /** Called when the faults change. */
    onFaultsChanged: () => void = () => undefined;

    private constructor(readonly name: string, readonly slots: number, readonly statementTimeMs: number, primary: string) {
        this.isReplica = name !== primary;
        this.upstream = this.isReplica ? primary : "";
    }

    static create(name: string, slots: number, statementTimeMs: number, primary: string): DatabaseInstance {
        return new DatabaseInstance(name, slots, statementTimeMs, primary);
    }

    /** Ends recovery: a new timeline begins at the present position. */
    promote(): void {
        if (this.isReplica) {
            this.isReplica = false;
            this.upstream = "";
            this.timeline++;
        }
    }

    /** Throws away the log and follows another instance from its beginning. */
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

    /** Applies what the upstream committed at least the lag ago. A diverged log applies nothing. */
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
