import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { type AttemptPace, createAttemptPace, recordRefusal, recordSuccess } from "@pomeloturn/pace-attempts/AttemptPace";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";

/** Latency that is expected of an instance before it has answered. */
const FIRST_LATENCY_MS = 15;
const LATENCY_WEIGHT = 0.1;
const FIRST_BEHIND_MS = 60;
const MAXIMUM_BEHIND_MS = 700;

/** What this VM knows of an instance. */
export class InstanceRuntime {
    /** Mean time of a statement, with the way there and back. */
    latencyMs = FIRST_LATENCY_MS;
    /** Last position that the instance stated. */
    position: LogPosition | undefined;
    /** Until when reads that need a newer position than `position` go elsewhere. */
    behindUntilMs = 0;
    readonly pace: AttemptPace = createAttemptPace();
    private behindMs = FIRST_BEHIND_MS;

    private constructor(public entry: InstanceEntry, readonly pool: InstancePool) {}

    static create(entry: InstanceEntry, pool: InstancePool): InstanceRuntime {
        return new InstanceRuntime(entry, pool);
    }

    recordAnswered(latencyMs: number, position: LogPosition | undefined): void {
        this.latencyMs += (latencyMs - this.latencyMs) * LATENCY_WEIGHT;
        this.position = position ?? this.position;
        this.behindMs = FIRST_BEHIND_MS;
        recordSuccess(this.pace);
    }

    /** The instance refused a statement for want of a slot. @param random 0 to 1 */
    recordBusy(random: number, nowMs: number): void {
        recordRefusal(this.pace, random, nowMs);
    }

    /** The instance lacked a position that most replicas hold. */
    recordBehind(position: LogPosition | undefined, nowMs: number): void {
        this.position = position ?? this.position;
        this.behindUntilMs = nowMs + this.behindMs;
        this.behindMs = Math.min(MAXIMUM_BEHIND_MS, this.behindMs * 2);
    }
}
