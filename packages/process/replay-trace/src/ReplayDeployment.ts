/** The properties of a deployment that a replay needs. */
export interface ReplayDeployment {
    readonly name: string;
    /** Region of each failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** Failure domain of each entry VM. */
    readonly vms: Readonly<Record<string, string>>;
    /** Failure domain of each instance of the group; the first is the primary. */
    readonly instances: Readonly<Record<string, string>>;
    readonly group: string;
    readonly betweenFailureDomainsMs: number;
    readonly betweenRegionsMs: number;
    readonly slots: number;
    readonly connections: number;
    readonly replicationLagMs: number;
    readonly approvedBytesPerSecond: number;
    readonly ranks: readonly ReplayRank[];
}

/** A rank with its typical workload. */
export interface ReplayRank {
    readonly name: string;
    readonly targetLatencyMs: number;
    readonly floorShare: number;
    readonly deadlineMs: number;
    /** Typical number of requests per second at one group. */
    readonly ratePerSecond: number;
    readonly writeShare: number;
    readonly serviceTimeMs: number;
    readonly answerBytes: number;
    readonly maximumAgeMs?: number;
}

/** Approved rate between regions: three quarters of a 20 Mbit/s link. */
const APPROVED_BYTES_PER_SECOND = 1_875_000;

const erata: ReplayDeployment = {
    name: "erata",
    regions: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" },
    vms: { "vm-1": "cluj-a", "vm-2": "cluj-a", "vm-3": "cluj-b", "vm-4": "cluj-b", "vm-5": "buc-a", "vm-6": "buc-a" },
    instances: { one: "cluj-a", two: "cluj-b", three: "buc-a" },
    group: "log-1",
    betweenFailureDomainsMs: 1.5,
    betweenRegionsMs: 12,
    slots: 2,
    connections: 16,
    replicationLagMs: 40,
    approvedBytesPerSecond: APPROVED_BYTES_PER_SECOND,
    ranks: [
        {
            name: "filing",
            targetLatencyMs: 250,
            floorShare: 0.3,
            deadlineMs: 5_000,
            ratePerSecond: 6,
            writeShare: 0.7,
            serviceTimeMs: 20,
            answerBytes: 500,
        },
        {
            name: "lookup",
            targetLatencyMs: 500,
            floorShare: 0.25,
            deadlineMs: 3_000,
            ratePerSecond: 60,
            writeShare: 0,
            serviceTimeMs: 20,
            answerBytes: 6_000,
        },
        {
            name: "notice",
            targetLatencyMs: 2_000,
            floorShare: 0.1,
            deadlineMs: 8_000,
            ratePerSecond: 40,
            writeShare: 0,
            serviceTimeMs: 15,
            answerBytes: 2_000,
            maximumAgeMs: 5_000,
        },
    ],
};

const lakeshore: ReplayDeployment = {
    name: "lakeshore",
    regions: { "buffalo-a": "erie-east", "cleveland-b": "erie-east", "duluth-a": "superior-west" },
    vms: { "vm-1": "buffalo-a", "vm-2": "buffalo-a", "vm-3": "cleveland-b", "vm-4": "cleveland-b", "vm-5": "duluth-a", "vm-6": "duluth-a" },
    instances: { one: "buffalo-a", two: "cleveland-b", three: "duluth-a" },
    group: "ledger-1",
    betweenFailureDomainsMs: 0.5,
    betweenRegionsMs: 12,
    slots: 3,
    connections: 35,
    replicationLagMs: 60,
    approvedBytesPerSecond: APPROVED_BYTES_PER_SECOND,
    ranks: [
        {
            name: "order",
            targetLatencyMs: 200,
            floorShare: 0.4,
            deadlineMs: 5_000,
            ratePerSecond: 40,
            writeShare: 0.8,
            serviceTimeMs: 25,
            answerBytes: 800,
        },
        {
            name: "proof",
            targetLatencyMs: 800,
            floorShare: 0.2,
            deadlineMs: 5_000,
            ratePerSecond: 15,
            writeShare: 0.1,
            serviceTimeMs: 40,
            answerBytes: 40_000,
        },
        {
            name: "catalogue",
            targetLatencyMs: 2_000,
            floorShare: 0.1,
            deadlineMs: 8_000,
            ratePerSecond: 40,
            writeShare: 0,
            serviceTimeMs: 15,
            answerBytes: 8_000,
            maximumAgeMs: 10_000,
        },
    ],
};

/** The two deployments that traces exist for, each with one of its database groups. */
export const replayDeployments: readonly ReplayDeployment[] = [erata, lakeshore];

/** One-way latency between two failure domains, in milliseconds. */
export const oneWayMs = (deployment: ReplayDeployment, from: string, to: string): number => {
    if (from === to) {
        return 0;
    }
    const isPaid = deployment.regions[from] !== deployment.regions[to];
    return isPaid ? deployment.betweenRegionsMs : deployment.betweenFailureDomainsMs;
};
