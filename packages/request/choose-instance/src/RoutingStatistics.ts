import { decayLagEstimate, initialLagEstimate, isLikelyReplayed, type LagEstimate, updateLagEstimate } from "./lagEstimate.ts";

/** Statistics that a VM gathers from its own requests, by `instanceKey`: outstanding requests and replication lag. */
export class RoutingStatistics {
    private readonly outstanding = new Map<string, number>();
    private readonly lagEstimates = new Map<string, LagEstimate>();

    private constructor() {}

    static create(): RoutingStatistics {
        return new RoutingStatistics();
    }

    /** Number of requests of this VM that the instance has not answered yet. */
    outstandingOf(key: string): number {
        return this.outstanding.get(key) ?? 0;
    }

    countSent(key: string): void {
        this.outstanding.set(key, this.outstandingOf(key) + 1);
    }

    countCompleted(key: string): void {
        this.outstanding.set(key, Math.max(0, this.outstandingOf(key) - 1));
    }

    /**
     * Returns whether a write that was acknowledged `sinceWriteMs` ago is expected to be replayed at the replica. A negative
     * result shrinks the lag estimate, as the caller does not try the replica then.
     */
    expectsReplayed(key: string, sinceWriteMs: number): boolean {
        const estimate = this.lagEstimateOf(key);
        if (isLikelyReplayed(estimate, sinceWriteMs)) {
            return true;
        }
        this.lagEstimates.set(key, decayLagEstimate(estimate));
        return false;
    }

    /** Updates the lag estimate by a replica's check of a position that was written `sinceWriteMs` ago. */
    recordLag(key: string, sinceWriteMs: number, isBehind: boolean): void {
        this.lagEstimates.set(key, updateLagEstimate(this.lagEstimateOf(key), sinceWriteMs, isBehind));
    }

    private lagEstimateOf(key: string): LagEstimate {
        return this.lagEstimates.get(key) ?? initialLagEstimate;
    }
}
