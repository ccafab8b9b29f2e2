import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import {
    type AttemptPace,
    createAttemptPace,
    recordRefusal,
    recordSuccess,
    waitBeforeAttemptMs,
} from "@pomeloturn/pace-attempts/AttemptPace";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import type { InstancePacing } from "./InstancePacing.ts";

/** Latency that is assumed for an instance before its first answer. */
const INITIAL_LATENCY_MS = 15;
const LATENCY_WEIGHT = 0.1;
const INITIAL_BEHIND_BACKOFF_MS = 60;
const MAXIMUM_BEHIND_BACKOFF_MS = 700;

/** State that this VM keeps of an instance. */
export class InstanceRuntime {
    /** Exponentially weighted mean latency of statements, including the network round trip. */
    latencyMs = INITIAL_LATENCY_MS;
    /** Last position that the instance reported. */
    position: LogPosition | undefined;
    /** Monotonic time until which reads that need a newer position than `position` avoid this instance. */
    behindUntilMs = 0;
    readonly pace: AttemptPace = createAttemptPace();
    /** Monotonic time from which it may be checked again whether the instance is at its address. */
    nextCheckAtMs = -Infinity;
    private behindBackoffMs = INITIAL_BEHIND_BACKOFF_MS;

    private constructor(
        public entry: InstanceEntry,
        readonly pool: InstancePool,
        /** Pacing by the instance's answers, which replaces `pace`; undefined where it is off. */
        readonly pacing: InstancePacing | undefined,
    ) {}

    static create(entry: InstanceEntry, pool: InstancePool, pacing?: InstancePacing): InstanceRuntime {
        pacing?.countWith(() => pool.activeCount);
        return new InstanceRuntime(entry, pool, pacing);
    }

    /** Returns the time until the pace of the instance is expected to allow a statement of the rank, in milliseconds. */
    waitForPaceMs(rank: number, nowMs: number): number {
        return this.pacing?.expectWaitMs(rank) ?? waitBeforeAttemptMs(this.pace, rank, nowMs);
    }

    /** Stops the use of the instance: waiting statements get no connection to it. */
    retire(reason: string): void {
        this.pool.retire(reason);
        this.pacing?.retire();
    }

    recordAnswered(latencyMs: number, position: LogPosition | undefined): void {
        this.latencyMs += (latencyMs - this.latencyMs) * LATENCY_WEIGHT;
        this.position = position ?? this.position;
        this.behindBackoffMs = INITIAL_BEHIND_BACKOFF_MS;
        recordSuccess(this.pace);
        this.pacing?.recordAnswer(latencyMs);
    }

    /**
     * Records that the instance refused a statement because all its slots were taken.
     *
     * @param sentAtMs monotonic time at which the statement was sent, in milliseconds
     * @param random random number from 0 to 1
     */
    recordRefusal(sentAtMs: number, random: number, nowMs: number): void {
        recordRefusal(this.pace, random, nowMs);
        this.pacing?.recordRefusal(sentAtMs);
    }

    /**
     * Records that the instance lacked a position that a healthy replica has; later reads avoid it for a time that
     * doubles with each such reply.
     */
    recordBehind(position: LogPosition | undefined, nowMs: number): void {
        this.position = position ?? this.position;
        this.behindUntilMs = nowMs + this.behindBackoffMs;
        this.behindBackoffMs = Math.min(MAXIMUM_BEHIND_BACKOFF_MS, this.behindBackoffMs * 2);
    }
}
