import { expect, it } from "vitest";
import { formatMetrics } from "./formatMetrics.ts";
import { LatencyHistograms } from "./LatencyHistograms.ts";

it("formats counters and the latencies of each service and rank", async () => {
    const histograms = LatencyHistograms.create();
    [1, 1, 1, 100].forEach(latencyMs => histograms.record("log-core", "filing", latencyMs));
    histograms.record("log-core", "notice", 7);
    const lines = (await formatMetrics({ requests_replica: 3, "result-301": 2 }, histograms.summarize())).split("\n");
    expect(lines).toEqual(expect.arrayContaining([
        "# TYPE pomeloturn_requests_replica_total counter",
        "pomeloturn_requests_replica_total 3",
        "pomeloturn_result_301_total 2",
        "pomeloturn_rank_requests_total{service=\"log-core\",rank=\"filing\"} 4",
        "pomeloturn_rank_requests_total{service=\"log-core\",rank=\"notice\"} 1",
    ]));
    const readValue = (start: string): number => Number(lines.find(line => line.startsWith(start))!.split(" ").at(-1));
    const labels = "service=\"log-core\",rank=\"filing\"";
    // The histogram keeps two significant digits.
    expect(readValue(`pomeloturn_latency_milliseconds{${labels},quantile="0.5"}`)).toBeCloseTo(1, 1);
    expect(readValue(`pomeloturn_latency_maximum_milliseconds{${labels}}`)).toBeCloseTo(100, -1);
});

it("formats the metrics of a process that has served no requests", async () => {
    expect(await formatMetrics({}, [])).toContain("# TYPE pomeloturn_rank_requests_total counter");
});

it("would fail if the pace of an instance, or that it is not limited, could not be read", async () => {
    const pace = { service: "ledger", instance: "i-1", window: 0.5, refusalCount: 3, lossCount: 2 };
    const lines = (await formatMetrics({}, [], [pace, { ...pace, instance: "i-2", window: Infinity }])).split("\n");
    expect(lines).toContain("pomeloturn_pace_window{service=\"ledger\",instance=\"i-1\"} 0.5");
    expect(lines).toContain("pomeloturn_pace_window{service=\"ledger\",instance=\"i-2\"} +Inf");
    expect(lines).toContain("pomeloturn_pace_refusals_total{service=\"ledger\",instance=\"i-1\"} 3");
    expect(lines).toContain("pomeloturn_pace_losses_total{service=\"ledger\",instance=\"i-1\"} 2");
});
