import { expectedLatencyMs, type RoutingCandidate } from "@pomeloturn/choose-instance/expectedLatencyMs";

/** A candidate with the resources that only the alternative policies consider. */
export interface PolicyCandidate extends RoutingCandidate {
    readonly connections: number;
    /** Share of the paid link's approved rate that is in use, 0 to 1; 0 when no paid link is crossed. */
    readonly linkUse: number;
    /** Share of the approved rate that this answer would add; 0 when no paid link is crossed. */
    readonly linkShare: number;
}

/**
 * Policies for choosing among the instances that may serve a read. The proxy uses `ExpectedLatency`; the others are
 * alternatives to compare it with.
 */
export const RoutingPolicy = {
    Nearest: "nearest",
    LeastOutstanding: "leastOutstanding",
    PowerOfTwo: "powerOfTwo",
    ExpectedLatency: "expectedLatency",
    PowerOfTwoLatency: "powerOfTwoLatency",
    OpportunityCost: "opportunityCost",
} as const;
export type RoutingPolicy = typeof RoutingPolicy[keyof typeof RoutingPolicy];

/** Rates a candidate; lower is better. */
type Score = (candidate: PolicyCandidate, candidateCount: number) => number;

/** Chooses one of the candidates, of which there is at least one. @param random returns numbers from 0 to 1 */
type Choice = (candidates: readonly PolicyCandidate[], random: () => number) => PolicyCandidate;

const best = (candidates: readonly PolicyCandidate[], score: Score): PolicyCandidate => {
    let chosen = candidates[0]!;
    let chosenScore = score(chosen, candidates.length);
    for (const candidate of candidates.slice(1)) {
        const candidateScore = score(candidate, candidates.length);
        if (candidateScore < chosenScore) {
            chosen = candidate;
            chosenScore = candidateScore;
        }
    }
    return chosen;
};

const bestOfTwo = (candidates: readonly PolicyCandidate[], score: Score, random: () => number): PolicyCandidate => {
    if (candidates.length <= 2) {
        return best(candidates, score);
    }
    const first = Math.floor(random() * candidates.length);
    const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length;
    return best([candidates[first]!, candidates[second]!], score);
};

const nearest: Score = candidate => candidate.roundTripMs;

const outstandingPerSlot: Score = candidate => candidate.outstanding / candidate.slots;

/**
 * Computes the marginal cost of choosing a candidate: the growth of the sum of n^utilization over slots, connections
 * and the paid link, where n is the number of candidates, at least 2.
 *
 * Source: rule ASSIGN-U in Amir, Awerbuch, Barak, Borgstrom, Keren, "An Opportunity Cost Approach for Job Assignment
 * and Reassignment in a Scalable Computing Cluster".
 */
export const marginalCost: Score = (candidate, candidateCount) => {
    const base = Math.max(2, candidateCount);
    const growth = (use: number, share: number): number => base ** (use + share) - base ** use;
    const { outstanding, slots, connections, linkUse, linkShare } = candidate;
    return growth(outstanding / slots, 1 / slots) + growth(outstanding / connections, 1 / connections) + growth(linkUse, linkShare);
};

/** Implementation of each policy. */
export const routingPolicies: Readonly<Record<RoutingPolicy, Choice>> = {
    nearest: candidates => best(candidates, nearest),
    leastOutstanding: candidates => best(candidates, outstandingPerSlot),
    powerOfTwo: (candidates, random) => bestOfTwo(candidates, outstandingPerSlot, random),
    expectedLatency: candidates => best(candidates, expectedLatencyMs),
    powerOfTwoLatency: (candidates, random) => bestOfTwo(candidates, expectedLatencyMs, random),
    opportunityCost: candidates => best(candidates, marginalCost),
};
