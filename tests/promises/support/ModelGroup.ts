import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** A commit in an instance's log. */
export interface ModelCommit {
    readonly position: LogPosition;
    readonly requestId: string;
}

/** What the check knows of a caller's statement. */
export interface Expectation {
    readonly session: number;
    /** When the statement, or the first of its transaction, was sent. */
    readonly sentAtMs: number;
    /** Commits acknowledged longer ago must be seen; undefined when only the session's own count. */
    readonly maximumAgeMs: number | undefined;
    readonly seesOwn: boolean;
    readonly values: ReadonlyMap<string, string>;
    readonly shape: string | undefined;
    /** Number of the session's transaction; undefined outside of one. */
    readonly transaction: number | undefined;
}

interface Acknowledged {
    readonly commit: ModelCommit;
    readonly session: number;
    readonly atMs: number;
}

/** An instance of the modelled group. */
export interface ModelInstance {
    readonly id: string;
    log: ModelCommit[];
    lagMs: number;
    /** Time of the last commit that it applies: commits are applied in their order, also when the lag shrinks. */
    appliesAtMs: number;
    /** Takes no connections and answers nothing. */
    isDark: boolean;
    /** Generation of connections; a crash ends all of the one before. */
    generation: number;
}

const PROMOTE_MS = 300;

/** A primary and its replicas, and the check of what the proxy does with them. */
export class ModelGroup {
    readonly instances: ModelInstance[];
    readonly violations: string[] = [];
    readonly expectations = new Map<string, Expectation>();
    readonly effects = new Map<string, number>();
    private readonly acknowledged: Acknowledged[] = [];
    private readonly promised = new Set<string>();
    leaderId: string;
    term = 1;
    private nextNumber = 1;

    constructor(ids: readonly string[], private readonly nowMs: () => number) {
        this.instances = ids.map(id => ({ id, log: [], lagMs: 20, appliesAtMs: 0, isDark: false, generation: 0 }));
        this.leaderId = ids[0]!;
    }

    find(id: string): ModelInstance {
        return this.instances.find(each => each.id === id)!;
    }

    positionOf({ log }: ModelInstance): LogPosition {
        return log.at(-1)?.position ?? { term: 1, position: 0 };
    }

    /** Whether the instance's log holds a position; one of another history it never holds. */
    holds(instance: ModelInstance, { term, position }: LogPosition): boolean {
        return position === 0 || instance.log.some(commit => commit.position.term === term && commit.position.position === position);
    }

    /** Appends a commit at the leader; replicas receive it after their lag. */
    commit(instance: ModelInstance, requestId: string): void {
        const commit = { position: { term: this.term, position: this.nextNumber++ }, requestId };
        instance.log.push(commit);
        this.effects.set(requestId, (this.effects.get(requestId) ?? 0) + 1);
        if (this.effects.get(requestId)! > 1) {
            this.violations.push(`TWICE ${requestId}`);
        }
        if (this.promised.has(requestId)) {
            this.violations.push(`REFUSED ${requestId}: committed after a promise`);
        }
        const { term } = this;
        for (const replica of this.instances.filter(each => each !== instance)) {
            replica.appliesAtMs = Math.max(replica.appliesAtMs, this.nowMs() + replica.lagMs);
            setTimeout(() => {
                if (this.term === term) {
                    replica.log.push(commit);
                }
            }, replica.appliesAtMs - this.nowMs());
        }
    }

    /** Makes an instance the leader of the next term with what it has received. */
    promote(id: string): void {
        setTimeout(() => {
            const successor = this.find(id);
            this.term++;
            this.leaderId = id;
            const kept = new Set(successor.log);
            for (const replica of this.instances) {
                replica.log = replica === successor ? replica.log : [...successor.log];
            }
            for (let index = this.acknowledged.length - 1; index >= 0; index--) {
                if (!kept.has(this.acknowledged[index]!.commit)) {
                    this.acknowledged.splice(index, 1);
                }
            }
        }, PROMOTE_MS);
    }

    /** The proxy told a caller that its commit took effect. */
    acknowledge(requestIds: readonly string[], session: number): void {
        const atMs = this.nowMs();
        for (const { log } of this.instances) {
            for (const commit of log.filter(({ requestId }) => requestIds.includes(requestId))) {
                if (!this.acknowledged.some(each => each.commit === commit)) {
                    this.acknowledged.push({ commit, session, atMs });
                }
            }
        }
    }

    /** The proxy told a caller that nothing of these requests is kept. */
    promise(requestIds: readonly string[]): void {
        for (const requestId of requestIds) {
            this.promised.add(requestId);
            const isKept = this.instances.some(({ log }) => log.some(commit => commit.requestId === requestId));
            if (isKept) {
                this.violations.push(`REFUSED ${requestId}`);
            }
        }
    }

    /** Checks that a read runs on a log that holds all that its route promises. */
    checkRead(instance: ModelInstance, requestId: string): void {
        const expected = this.expectations.get(requestId);
        if (expected === undefined) {
            this.violations.push(`UNASKED ${requestId}`);
            return;
        }
        const held = new Set(instance.log);
        for (const { commit, session, atMs } of this.acknowledged) {
            const isOld = expected.maximumAgeMs !== undefined && atMs < expected.sentAtMs - expected.maximumAgeMs;
            const isOwn = expected.seesOwn && session === expected.session && atMs <= expected.sentAtMs;
            if ((isOld || isOwn) && !held.has(commit)) {
                this.violations.push(`STALE ${requestId} at ${instance.id} lacks ${commit.position.term}.${commit.position.position}`);
            }
        }
    }
}
