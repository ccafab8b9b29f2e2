import { floodScenarios, generateTrace, traceScenarios } from "@pomeloturn/replay-trace/generateTrace";
import { replayDeployments } from "@pomeloturn/replay-trace/ReplayDeployment";
import { replayTrace } from "@pomeloturn/replay-trace/replayTrace";
import { RoutingPolicy } from "@pomeloturn/replay-trace/routingPolicies";

const SEEDS = [1, 2, 3];
const BYTES_PER_KILOBYTE = 1_000;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Compares the routing policies on the same traces. Each figure is the mean over the seeds. */
export const routingTable = (): Record<string, unknown>[] => {
    const rows: Record<string, unknown>[] = [];
    for (const deployment of replayDeployments) {
        for (const scenario of [...traceScenarios, ...floodScenarios]) {
            const traces = SEEDS.map(seed => generateTrace(deployment, scenario, seed));
            for (const policy of Object.values(RoutingPolicy)) {
                const reports = traces.map((trace, index) => replayTrace(deployment, trace, policy, SEEDS[index]!));
                rows.push({
                    deployment: deployment.name,
                    trace: scenario.name,
                    policy,
                    replicaShare: mean(reports.map(report => report.provableReplicaShare)).toFixed(3),
                    p99Ms: deployment.ranks.map((_rank, index) => Math.round(mean(reports.map(report => report.ranks[index]!.p99Ms)))).join(
                        "/",
                    ),
                    served: deployment.ranks.map((_rank, index) =>
                        mean(reports.map(report => report.ranks[index]!.servedCount / report.ranks[index]!.arrivedCount)).toFixed(2)
                    ).join("/"),
                    linkKb: Math.round(mean(reports.map(report => report.linkBytes)) / BYTES_PER_KILOBYTE),
                    stale: mean(reports.map(report => report.staleCount)),
                    lost: mean(reports.map(report => report.lostCount)),
                });
            }
        }
    }
    return rows;
};
