import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { ReplayDeployment, ReplayRank } from "./ReplayDeployment.ts";
import { type RequestLine, type TraceLine, TraceLineKind } from "./TraceLine.ts";

/** What happens in a trace, on top of the ordinary work. */
export interface TraceScenario {
    readonly name: string;
    readonly durationMs: number;
    /** Factor on the ordinary rate of each rank while the surge lasts. */
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

const calm = { durationMs: 12_000, surge: NO_SURGE, surgeFromMs: 0, surgeToMs: 0, faults: () => [] };

const lagFaults = ({ group, instances }: ReplayDeployment): TraceLine[] => {
    const [, first, second] = Object.keys(instances);
    return [
        { kind: TraceLineKind.Lag, atMs: 2_000, forMs: 6_000, group, instance: first!, lagMs: 20_000 },
        { kind: TraceLineKind.Lag, atMs: 5_000, forMs: 2_000, group, instance: second!, lagMs: 3_000 },
    ];
};

/** The scenarios that every deployment has a trace of. */
export const traceScenarios: readonly TraceScenario[] = [
    { ...calm, name: "ordinary-day" },
    { ...calm, name: "surge", surge: [2.4, 2.2, 2], surgeFromMs: 2_000, surgeToMs: 10_000 },
    { ...calm, name: "replica-lag", faults: lagFaults },
    {
        ...calm,
        name: "failover",
        faults: ({ group }) => [{ kind: TraceLineKind.PrimaryDown, atMs: 4_000, forMs: 3_000, group }],
    },
];

/** Scenarios in which one rank comes in at ten times the group's capacity. */
export const floodScenarios: readonly (TraceScenario & { readonly floodRank: number; })[] = [0, 1, 2].map(floodRank => ({
    ...calm,
    name: `flood-rank-${floodRank}`,
    durationMs: 15_000,
    surgeFromMs: 2_000,
    surgeToMs: 14_000,
    floodRank,
}));

type Draw = () => number;

const createDraw = (seed: number): Draw => {
    const generator: RandomGenerator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
};

/** Time until the next arrival of a Poisson process. */
const exponentialMs = (draw: Draw, ratePerSecond: number): number => -Math.log(1 - draw()) * MILLISECONDS_PER_SECOND / ratePerSecond;

const round = (value: number): number => Math.round(value * 100) / 100;

const requestAt = (deployment: ReplayDeployment, rank: number, atMs: number, draw: Draw): RequestLine => {
    const settings = deployment.ranks[rank]!;
    const session = Math.floor(draw() * SESSION_COUNT);
    const vms = Object.keys(deployment.vms);
    const line: RequestLine = {
        kind: TraceLineKind.Request,
        atMs: round(atMs),
        vm: vms[(session + Math.floor(draw() * 2)) % vms.length]!,
        group: deployment.group,
        session,
        rank,
        isWrite: draw() < settings.writeShare,
        serviceTimeMs: round(settings.serviceTimeMs * (0.5 + draw())),
        answerBytes: Math.round(settings.answerBytes * (0.5 + draw())),
    };
    return settings.maximumAgeMs === undefined || line.isWrite ? line : { ...line, maximumAgeMs: settings.maximumAgeMs };
};

const ordinaryLines = (deployment: ReplayDeployment, scenario: TraceScenario, rank: number, draw: Draw): RequestLine[] => {
    const lines: RequestLine[] = [];
    const { ratePerSecond } = deployment.ranks[rank]!;
    let atMs = 0;
    while (atMs < scenario.durationMs) {
        const isSurge = atMs >= scenario.surgeFromMs && atMs < scenario.surgeToMs;
        atMs += exponentialMs(draw, ratePerSecond * (isSurge ? scenario.surge[rank]! : 1));
        lines.push(requestAt(deployment, rank, atMs, draw));
    }
    return lines;
};

/** Statements a second that the instances of the group can run, at the rank's service time. */
const capacityPerSecond = (deployment: ReplayDeployment, { serviceTimeMs }: ReplayRank): number =>
    Object.keys(deployment.instances).length * deployment.slots * MILLISECONDS_PER_SECOND / serviceTimeMs;

const floodLines = (deployment: ReplayDeployment, scenario: TraceScenario, rank: number, draw: Draw): RequestLine[] => {
    const perVmPerSecond = FLOOD_CAPACITY_FACTOR * capacityPerSecond(deployment, deployment.ranks[rank]!)
        / Object.keys(deployment.vms).length;
    const count = Math.round(perVmPerSecond * BURST_MS / MILLISECONDS_PER_SECOND);
    const lines: RequestLine[] = [];
    for (const vm of Object.keys(deployment.vms)) {
        for (let atMs = scenario.surgeFromMs; atMs < scenario.surgeToMs; atMs += BURST_MS) {
            lines.push({ ...requestAt(deployment, rank, atMs + draw() * 10, draw), vm, count, overMs: BURST_MS });
        }
    }
    return lines;
};

/**
 * Generates a trace. The same deployment, scenario and seed give the same lines.
 *
 * @returns the lines in order of time
 */
export const generateTrace = (
    deployment: ReplayDeployment,
    scenario: TraceScenario & { readonly floodRank?: number; },
    seed: number,
): TraceLine[] => {
    const draw = createDraw(seed);
    const requests = deployment.ranks.flatMap((_rank, index) => ordinaryLines(deployment, scenario, index, draw));
    const flood = scenario.floodRank === undefined ? [] : floodLines(deployment, scenario, scenario.floodRank, draw);
    return [...scenario.faults(deployment), ...requests, ...flood].sort((left, right) => left.atMs - right.atMs);
};
