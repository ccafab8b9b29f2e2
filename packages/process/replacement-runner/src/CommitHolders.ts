import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { RETURN_WINDOW_MS } from "./returnWindow.ts";

/** Time for an instance to answer at its address after it was listed. The entry of one that does not may come from another writer. */
const FIRST_ANSWER_WINDOW_MS = 10_000;

interface Holder {
    readonly firstListedAtMs: number;
    lastListedAtMs: number;
    hasAnswered: boolean;
}

/** Instances of a service that may hold acknowledged commits although they do not answer now. Times are monotonic milliseconds. */
export class CommitHolders {
    private readonly holders = new Map<string, Holder>();

    private constructor() {}

    static create(): CommitHolders {
        return new CommitHolders();
    }

    /**
     * Records which instances are listed. Must be called regularly.
     *
     * @param verifiedFromMs start of the last complete check of the listing; see `ListingCheck`
     * @param nowMs monotonic time in milliseconds
     */
    update({ instances, knownLeader: { answeredIds } }: ServiceRuntime, verifiedFromMs: number, nowMs: number): void {
        for (const id of instances.keys()) {
            const holder = this.holders.get(id) ?? { firstListedAtMs: nowMs, lastListedAtMs: nowMs, hasAnswered: false };
            holder.lastListedAtMs = nowMs;
            holder.hasAnswered ||= answeredIds.has(id);
            this.holders.set(id, holder);
        }
        for (const [id, { hasAnswered, lastListedAtMs }] of this.holders) {
            const isGone = hasAnswered ? lastListedAtMs < verifiedFromMs : nowMs - lastListedAtMs > RETURN_WINDOW_MS;
            if (isGone && !instances.has(id)) {
                this.holders.delete(id);
            }
        }
    }

    /** Whether a listed instance that does not answer may hold commits. */
    mayHoldCommits(id: string, { knownLeader: { answeredIds } }: ServiceRuntime, nowMs: number): boolean {
        const holder = this.holders.get(id);
        return holder === undefined || holder.hasAnswered || answeredIds.has(id)
            || nowMs - holder.firstListedAtMs <= FIRST_ANSWER_WINDOW_MS;
    }

    /** Returns the ids of the instances that have answered and are no longer listed, but may be listed again. */
    listAbsent({ instances }: ServiceRuntime): string[] {
        return [...this.holders].filter(([id, { hasAnswered }]) => hasAnswered && !instances.has(id)).map(([id]) => id);
    }
}
