import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Configuration, LinkShareConfiguration } from "@pomeloturn/types/Configuration";
import type { ConfigProblem } from "./ConfigFile.ts";
import { appendPointer } from "./jsonPointer.ts";
import type { OriginMap } from "./OriginMap.ts";

/** Tolerates floating-point rounding errors, as in 0.1 + 0.2 + 0.7. */
const SHARE_TOLERANCE = 1e-9;

/** Checks that the floors of each service's ranks add up to at most 1, and that the link traffic that services request is approved by finance. */
export const checkAmounts = (configuration: Configuration, origins: OriginMap): ConfigProblem[] => [
    ...checkFloors(configuration, origins),
    ...checkApproved(configuration, origins),
];

const checkFloors = (configuration: Configuration, origins: OriginMap): ConfigProblem[] =>
    Object.entries(configuration.services).flatMap(([name, { ranks }]) => {
        const path = `${appendPointer("/services", name)}/ranks`;
        const sum = ranks.reduce((total, { floorShare }) => total + floorShare, 0);
        if (sum <= 1 + SHARE_TOLERANCE) {
            return [];
        }
        const message = `the floor shares of the ranks add up to ${Number(sum.toFixed(6))}, which exceeds 1`;
        return [{ code: ResultCode.FloorStranded, file: origins.findFiles(path), path, rule: "floor", message }];
    });

interface Demand {
    readonly fromRegion: string;
    readonly toRegion: string;
    bytesPerSecond: number;
    bytesPerMonth: number;
    readonly paths: string[];
}

const checkApproved = (configuration: Configuration, origins: OriginMap): ConfigProblem[] =>
    [...sumDemand(configuration).values()].flatMap(demand => {
        const link = configuration.links.find(each => each.fromRegion === demand.fromRegion && each.toRegion === demand.toRegion);
        const excesses = [
            formatExcess(demand.bytesPerSecond, link?.approvedBytesPerSecond ?? 0, "bytes/s"),
            formatExcess(demand.bytesPerMonth, link?.approvedBytesPerMonth ?? 0, "bytes per month"),
        ].filter(each => each !== undefined);
        const files = [...new Set(demand.paths.map(path => origins.findFiles(path)))].join(", ");
        return excesses.map(excess => ({
            code: ResultCode.ApprovedAmountExceeded,
            file: files,
            path: demand.paths.join(", "),
            rule: "approved",
            message: `${demand.fromRegion} to ${demand.toRegion}: ${excess}`,
        }));
    });

const formatExcess = (requested: number, approved: number, unit: string): string | undefined =>
    requested > approved ? `a total of ${requested} ${unit} is requested, but only ${approved} ${unit} is approved` : undefined;

const sumDemand = (configuration: Configuration): ReadonlyMap<string, Demand> => {
    const demands = new Map<string, Demand>();
    for (const [name, { linkShares }] of Object.entries(configuration.services)) {
        (linkShares ?? []).forEach((share, index) => addShare(demands, share, `${appendPointer("/services", name)}/linkShares/${index}`));
    }
    return demands;
};

const addShare = (demands: Map<string, Demand>, share: LinkShareConfiguration, path: string): void => {
    const { fromRegion, toRegion, bytesPerSecond, bytesPerMonth } = share;
    const key = `${fromRegion} ${toRegion}`;
    const demand = demands.get(key) ?? { fromRegion, toRegion, bytesPerSecond: 0, bytesPerMonth: 0, paths: [] };
    demand.bytesPerSecond += bytesPerSecond;
    demand.bytesPerMonth += bytesPerMonth;
    demand.paths.push(path);
    demands.set(key, demand);
};
