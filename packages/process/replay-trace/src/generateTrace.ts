import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { ReplayDeployment, ReplayRank } from "./ReplayDeployment.ts";
import { type RequestLine, type TraceLine, TraceLineKind } from "./TraceLine.ts";

/** Load changes and faults of a trace, on top of the typical workload. */
export interface TraceScenario {
    readonly name: string;
    readonly durationMs: number;
    /** Factor on the typical rate of each rank during the surge. */
    readonly surge: readonly number[];
    readonly surgeFromMs: number;
    readonly surgeToMs: number;
    readonly faults: (deployment: ReplayDeployment) => readonly TraceLine[];
}

const SESSION_COUNT = 60;
const BURST_MS = 100;
const FLOOD_CAPACITY_FACTOR = 10;
const NO_SURGE = [1, 1, 1];
const MILLISECONDS_PER_SECOND = 1_000;

const baseScenario = { durationMs: 12_000, surge: NO_SURGE, surgeFromMs: 0, surgeToMs: 0, faults: () => [] };

const lagFaults = ({ group, instances }: ReplayDeployment): TraceLine[] => {
    const [, first, second] = Object.keys(instances);
    return [
        { kind: TraceLineKind.Lag, atMs: 2_000, forMs: 6_000, group, instance: first!, lagMs: 20_000 },
        { kind: TraceLineKind.Lag, atMs: 5_000, forMs: 2_000, group, instance: second!, lagMs: 3_000 },
    ];
};

/** Scenarios that every deployment has a trace of. */
export const traceScenarios: readonly TraceScenario[] = [
    { ...baseScenario, name: "ordinary-day" },
    { ...baseScenario, name: "surge", surge: [2.4, 2.2, 2], surgeFromMs: 2_000, surgeToMs: 10_000 },
    { ...baseScenario, name: "replica-lag", faults: lagFaults },
    {
        ...baseScenario,
        name: "failover",
        faults: ({ group }) => [{ kind: TraceLineKind.PrimaryDown, atMs: 4_000, forMs: 3_000, group }],
    },
];

/** Scenarios in which one rank arrives at ten times the group's capacity. */
export const floodScenarios: readonly (TraceScenario & { readonly floodRank: number; })[] = [0, 1, 2].map(floodRank => ({
    ...baseScenario,
    name: `flood-rank-${floodRank}`,
    durationMs: 15_000,
    surgeFromMs: 2_000,
    surgeToMs: 14_000,
    floodRank,
}));

type RandomSource = () => number;

const createRandomSource = (seed: number): RandomSource => {
    const generator: RandomGenerator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
};

/** Draws the time until the next arrival of a Poisson process. */
const exponentialMs = (random: RandomSource, ratePerSecond: number): number =>
    -Math.log(1 - random()) * MILLISECONDS_PER_SECOND / ratePerSecond;

const round = (value: number): number => Math.round(value * 100) / 100;

const requestAt = (deployment: ReplayDeployment, rank: number, atMs: number, random: RandomSource): RequestLine => {
    const settings = deployment.ranks[rank]!;
    const session = Math.floor(random() * SESSION_COUNT);
    const vms = Object.keys(deployment.vms);
    const line: RequestLine = {
        kind: TraceLineKind.Request,
        atMs: round(atMs),
        vm: vms[(session + Math.floor(random() * 2)) % vms.length]!,
        group: deployment.group,
        session,
        rank,
        isWrite: random() < settings.writeShare,
        serviceTimeMs: round(settings.serviceTimeMs * (0.5 + random())),
        answerBytes: Math.round(settings.answerBytes * (0.5 + random())),
    };
    return settings.maximumAgeMs === undefined || line.isWrite ? line : { ...line, maximumAgeMs: settings.maximumAgeMs };
};

const typicalLines = (deployment: ReplayDeployment, scenario: TraceScenario, rank: number, random: RandomSource): RequestLine[] => {
    const lines: RequestLine[] = [];
    const { ratePerSecond } = deployment.ranks[rank]!;
    let atMs = 0;
    while (atMs < scenario.durationMs) {
        const isSurge = atMs >= scenario.surgeFromMs && atMs < scenario.surgeToMs;
        atMs += exponentialMs(random, ratePerSecond * (isSurge ? scenario.surge[rank]! : 1));
        lines.push(requestAt(deployment, rank, atMs, random));
    }
    return lines;
};

/** Statements per second that the instances of the group can run at the rank's service time. */
const capacityPerSecond = (deployment: ReplayDeployment, { serviceTimeMs }: ReplayRank): number =>
    Object.keys(deployment.instances).length * deployment.slots * MILLISECONDS_PER_SECOND / serviceTimeMs;

const floodLines = (deployment: ReplayDeployment, scenario: TraceScenario, rank: number, random: RandomSource): RequestLine[] => {
    const requestsPerSecondPerVm = FLOOD_CAPACITY_FACTOR * capacityPerSecond(deployment, deployment.ranks[rank]!)
        / Object.keys(deployment.vms).length;
    const count = Math.round(requestsPerSecondPerVm * BURST_MS / MILLISECONDS_PER_SECOND);
    const lines: RequestLine[] = [];
    for (const vm of Object.keys(deployment.vms)) {
        for (let atMs = scenario.surgeFromMs; atMs < scenario.surgeToMs; atMs += BURST_MS) {
            lines.push({ ...requestAt(deployment, rank, atMs + random() * 10, random), vm, count, overMs: BURST_MS });
        }
    }
    return lines;
};

/**
 * Generates a trace. The same deployment, scenario and seed give the same lines.
 *
 * @returns the lines sorted by time
 */
export const generateTrace = (
    deployment: ReplayDeployment,
    scenario: TraceScenario & { readonly floodRank?: number; },
    seed: number,
): TraceLine[] => {
    const random = createRandomSource(seed);
    const requests = deployment.ranks.flatMap((_rank, index) => typicalLines(deployment, scenario, index, random));
    const flood = scenario.floodRank === undefined ? [] : floodLines(deployment, scenario, scenario.floodRank, random);
    return [...scenario.faults(deployment), ...requests, ...flood].sort((left, right) => left.atMs - right.atMs);
};
