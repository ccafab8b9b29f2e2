import { decayLagEstimate, initialLagEstimate, isLikelyReplayed, type LagEstimate, updateLagEstimate } from "./lagEstimate.ts";

/** What a VM has learned from its own requests, by `instanceKey`. */
export class RoutingKnowledge {
    private readonly outstanding = new Map<string, number>();
    private readonly lagEstimates = new Map<string, LagEstimate>();

    private constructor() {}

    static create(): RoutingKnowledge {
        return new RoutingKnowledge();
    }

    /** Requests of this VM that the instance has not answered. */
    outstandingOf(key: string): number {
        return this.outstanding.get(key) ?? 0;
    }

    countSent(key: string): void {
        this.outstanding.set(key, this.outstandingOf(key) + 1);
    }

    countSettled(key: string): void {
        this.outstanding.set(key, Math.max(0, this.outstandingOf(key) - 1));
    }

    /** Whether a write of `sinceWriteMs` ago is expected at the replica; a "no" is remembered as a read that was not tried. */
    expectsReplayed(key: string, sinceWriteMs: number): boolean {
        const estimate = this.lagOf(key);
        if (isLikelyReplayed(estimate, sinceWriteMs)) {
            return true;
        }
        this.lagEstimates.set(key, decayLagEstimate(estimate));
        return false;
    }

    /** Learns from a replica's check of a position that was written `sinceWriteMs` ago. */
    learnLag(key: string, sinceWriteMs: number, isBehind: boolean): void {
        this.lagEstimates.set(key, updateLagEstimate(this.lagOf(key), sinceWriteMs, isBehind));
    }

    private lagOf(key: string): LagEstimate {
        return this.lagEstimates.get(key) ?? initialLagEstimate;
    }
}
