import type { AdmissionState } from "@pomeloturn/admit-request/AdmissionState";
import { grantCredits } from "@pomeloturn/admit-request/grantCredits";

/** A sender that has not asked for credits within this time loses its share. */
const SENDER_TIMEOUT_MS = 5_000;

interface SenderArrivals {
    /** Number of requests by rank, halved at each grant so that recent ones weigh more. */
    requestCounts: number[];
    lastAskedAtMs: number;
}

/** Divides the credits of an instance among the senders by the number of their recent requests. */
export class SenderCredits {
    private readonly senders = new Map<string, SenderArrivals>();

    private constructor(private readonly rankCount: number) {}

    static create(rankCount: number): SenderCredits {
        return new SenderCredits(rankCount);
    }

    countRequest(sender: string, rank: number, nowMs: number): void {
        const { requestCounts } = this.findOrCreate(sender, nowMs);
        requestCounts[rank] = (requestCounts[rank] ?? 0) + 1;
    }

    /** Returns the credits of a sender, by rank, and removes senders that have timed out. */
    grant(sender: string, state: AdmissionState, nowMs: number): number[] {
        const arrivals = this.findOrCreate(sender, nowMs);
        arrivals.lastAskedAtMs = nowMs;
        for (const [name, { lastAskedAtMs }] of this.senders) {
            if (nowMs - lastAskedAtMs > SENDER_TIMEOUT_MS) {
                this.senders.delete(name);
            }
        }
        const totals = arrivals.requestCounts.map((_count, rank) =>
            [...this.senders.values()].reduce((sum, { requestCounts }) => sum + (requestCounts[rank] ?? 0), 0)
        );
        const credits = grantCredits(state, arrivals.requestCounts, totals, this.senders.size);
        arrivals.requestCounts = arrivals.requestCounts.map(count => count / 2);
        return credits;
    }

    private findOrCreate(sender: string, nowMs: number): SenderArrivals {
        const known = this.senders.get(sender);
        if (known !== undefined) {
            return known;
        }
        const created = { requestCounts: Array.from({ length: this.rankCount }, () => 0), lastAskedAtMs: nowMs };
        this.senders.set(sender, created);
        return created;
    }
}
