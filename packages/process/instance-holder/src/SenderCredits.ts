import type { AdmissionState } from "@pomeloturn/admit-request/AdmissionState";
import { grantCredits } from "@pomeloturn/admit-request/grantCredits";

/** A sender that has not asked for this long has no share. */
const SENDER_TIMEOUT_MS = 5_000;

interface SenderArrivals {
    /** Requests of the last reports, by rank, halved at each report. */
    counts: number[];
    askedAtMs: number;
}

/** What each sender sent lately, for its share of the credits. */
export class SenderCredits {
    private readonly senders = new Map<string, SenderArrivals>();

    private constructor(private readonly rankCount: number) {}

    static create(rankCount: number): SenderCredits {
        return new SenderCredits(rankCount);
    }

    /** Counts a request. */
    count(sender: string, rank: number, nowMs: number): void {
        const { counts } = this.find(sender, nowMs);
        counts[rank] = (counts[rank] ?? 0) + 1;
    }

    /** Credits of a sender that asks now. */
    grant(sender: string, state: AdmissionState, nowMs: number): number[] {
        const arrivals = this.find(sender, nowMs);
        arrivals.askedAtMs = nowMs;
        for (const [name, { askedAtMs }] of this.senders) {
            if (nowMs - askedAtMs > SENDER_TIMEOUT_MS) {
                this.senders.delete(name);
            }
        }
        const totals = arrivals.counts.map((_count, rank) =>
            [...this.senders.values()].reduce((sum, { counts }) => sum + (counts[rank] ?? 0), 0)
        );
        const credits = grantCredits(state, arrivals.counts, totals, this.senders.size);
        arrivals.counts = arrivals.counts.map(count => count / 2);
        return credits;
    }

    private find(sender: string, nowMs: number): SenderArrivals {
        const known = this.senders.get(sender);
        if (known !== undefined) {
            return known;
        }
        const created = { counts: Array.from({ length: this.rankCount }, () => 0), askedAtMs: nowMs };
        this.senders.set(sender, created);
        return created;
    }
}
