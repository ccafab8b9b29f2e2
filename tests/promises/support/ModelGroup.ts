import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** A commit in an instance's log. */
export interface ModelCommit {
    readonly position: LogPosition;
    readonly requestId: string;
}

/** What the check expects of a caller's statement. */
export interface Expectation {
    readonly session: number;
    /** When the statement, or the first one of its transaction, was sent. */
    readonly sentAtMs: number;
    /** Commits that were acknowledged longer ago than this must be visible; undefined where only the session's own commits must be. */
    readonly maximumAgeMs: number | undefined;
    readonly areOwnWritesRequired: boolean;
    readonly settings: ReadonlyMap<string, string>;
    readonly shape: string | undefined;
    /** Number of the transaction within its session; undefined outside a transaction. */
    readonly transactionNumber: number | undefined;
}

interface AcknowledgedCommit {
    readonly commit: ModelCommit;
    readonly session: number;
    readonly atMs: number;
}

/** An instance of the simulated group. */
export interface ModelInstance {
    readonly id: string;
    log: ModelCommit[];
    lagMs: number;
    /** When the latest scheduled commit is applied. Later commits are not applied before it, even if the lag shrinks. */
    lastApplyAtMs: number;
    /** Whether it accepts no connections and does not answer commands. */
    isUnresponsive: boolean;
    /** Generation of connections; a crash increments it and thereby closes all connections of earlier generations. */
    generation: number;
}

const PROMOTION_DURATION_MS = 300;

/** Simulates a primary and its replicas, and checks the consistency of what the proxy does with them. */
export class ModelGroup {
    readonly instances: ModelInstance[];
    readonly violations: string[] = [];
    readonly expectations = new Map<string, Expectation>();
    readonly commitCounts = new Map<string, number>();
    private readonly acknowledgedCommits: AcknowledgedCommit[] = [];
    private readonly notRunRequestIds = new Set<string>();
    leaderId: string;
    term = 1;
    private nextPosition = 1;

    constructor(ids: readonly string[], private readonly nowMs: () => number) {
        this.instances = ids.map(id => ({ id, log: [], lagMs: 20, lastApplyAtMs: 0, isUnresponsive: false, generation: 0 }));
        this.leaderId = ids[0]!;
    }

    findInstance(id: string): ModelInstance {
        return this.instances.find(each => each.id === id)!;
    }

    lastPositionOf({ log }: ModelInstance): LogPosition {
        return log.at(-1)?.position ?? { term: 1, position: 0 };
    }

    /** Whether the instance's log contains a position; it never contains one of another history. */
    hasPosition(instance: ModelInstance, { term, position }: LogPosition): boolean {
        return position === 0 || instance.log.some(commit => commit.position.term === term && commit.position.position === position);
    }

    /** Appends a commit at the leader; replicas receive it after their lag. */
    commit(instance: ModelInstance, requestId: string): void {
        const commit = { position: { term: this.term, position: this.nextPosition++ }, requestId };
        instance.log.push(commit);
        this.commitCounts.set(requestId, (this.commitCounts.get(requestId) ?? 0) + 1);
        if (this.commitCounts.get(requestId)! > 1) {
            this.violations.push(`TWICE ${requestId}`);
        }
        if (this.notRunRequestIds.has(requestId)) {
            this.violations.push(`REFUSED ${requestId}: committed after it was reported as not run`);
        }
        const { term } = this;
        for (const replica of this.instances.filter(each => each !== instance)) {
            replica.lastApplyAtMs = Math.max(replica.lastApplyAtMs, this.nowMs() + replica.lagMs);
            setTimeout(() => {
                if (this.term === term) {
                    replica.log.push(commit);
                }
            }, replica.lastApplyAtMs - this.nowMs());
        }
    }

    /** Makes an instance the leader of the next term with the commits that it has received, after `PROMOTION_DURATION_MS`. */
    promote(id: string): void {
        setTimeout(() => {
            const successor = this.findInstance(id);
            this.term++;
            this.leaderId = id;
            const remainingCommits = new Set(successor.log);
            for (const replica of this.instances) {
                replica.log = replica === successor ? replica.log : [...successor.log];
            }
            for (let index = this.acknowledgedCommits.length - 1; index >= 0; index--) {
                if (!remainingCommits.has(this.acknowledgedCommits[index]!.commit)) {
                    this.acknowledgedCommits.splice(index, 1);
                }
            }
        }, PROMOTION_DURATION_MS);
    }

    /** Records that the proxy reported the commit of these requests to a caller. */
    recordAcknowledgement(requestIds: readonly string[], session: number): void {
        const atMs = this.nowMs();
        for (const { log } of this.instances) {
            for (const commit of log.filter(({ requestId }) => requestIds.includes(requestId))) {
                if (!this.acknowledgedCommits.some(each => each.commit === commit)) {
                    this.acknowledgedCommits.push({ commit, session, atMs });
                }
            }
        }
    }

    /** Records that the proxy reported these requests as not run; none of them may be committed. */
    recordNotRun(requestIds: readonly string[]): void {
        for (const requestId of requestIds) {
            this.notRunRequestIds.add(requestId);
            const isKept = this.instances.some(({ log }) => log.some(commit => commit.requestId === requestId));
            if (isKept) {
                this.violations.push(`REFUSED ${requestId}`);
            }
        }
    }

    /** Checks that a read runs on a log with all commits that its route requires. */
    checkRead(instance: ModelInstance, requestId: string): void {
        const expectation = this.expectations.get(requestId);
        if (expectation === undefined) {
            this.violations.push(`UNASKED ${requestId}`);
            return;
        }
        const visibleCommits = new Set(instance.log);
        for (const { commit, session, atMs } of this.acknowledgedCommits) {
            const isOlderThanMaximumAge = expectation.maximumAgeMs !== undefined && atMs < expectation.sentAtMs - expectation.maximumAgeMs;
            const isOwnWrite = expectation.areOwnWritesRequired && session === expectation.session && atMs <= expectation.sentAtMs;
            if ((isOlderThanMaximumAge || isOwnWrite) && !visibleCommits.has(commit)) {
                this.violations.push(`STALE ${requestId} at ${instance.id} lacks ${commit.position.term}.${commit.position.position}`);
            }
        }
    }
}
