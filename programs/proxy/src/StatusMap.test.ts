import { buildInstanceStatus } from "@pomeloturn/instance-holder/buildInstanceStatus";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { StatusMap } from "./StatusMap.ts";

const createView = (leaseExpiresAtMs: number): ControlView => ({
    configVersion: 1,
    configuration: {
        failureDomains: {},
        latency: { betweenFailureDomainsMs: 1, betweenRegionsMs: 12 },
        services: {},
        groups: {},
        links: [],
    },
    vms: {},
    groups: {
        log: {
            term: 2,
            primary: "one",
            history: [{ term: 1, position: 0 }, { term: 2, position: 500 }],
            holders: { one: "vm-1", two: "vm-2" },
            leaseExpiresAtMs,
        },
    },
});

const createReport = (
    instance: string,
    isReplica: boolean,
    position: number,
    sentAtMs: number,
): Parameters<typeof buildInstanceStatus>[0] => ({
    group: "log",
    instance,
    sample: { isReplica, position, sentAtMs },
    isReachable: true,
    freeSlots: 1,
    queued: [0, 0, 0],
    credits: [1, 1, 1],
    serviceTimeUs: 1_000,
});

describe("StatusMap", () => {
    const cases = [
        { name: "replica that covers the newest sample", replayed: 700, expected: { position: 600, sampledAtMs: 990 } },
        { name: "replica that covers only the older sample", replayed: 550, expected: { position: 550, sampledAtMs: 890 } },
        { name: "replica in the previous term", replayed: 400, expected: { position: 600, sampledAtMs: 990 } },
    ];
    it.each(cases)("finds the newest covered sample: $name", ({ replayed, expected }) => {
        const view = createView(10_000);
        const map = StatusMap.create(() => view);
        map.applyReport("vm-1", buildInstanceStatus(createReport("one", false, 550, 90), view.groups["log"], 100, 120), 900, 950);
        map.applyReport("vm-1", buildInstanceStatus(createReport("one", false, 600, 190), view.groups["log"], 200, 220), 1_000, 1_050);
        map.applyReport("vm-2", buildInstanceStatus(createReport("two", true, replayed, 190), view.groups["log"], 200, 220), 1_000, 1_060);
        const status = map.statuses.get(instanceKey("log", "two"))!;
        expect(status.replayed).toEqual({ term: replayed < 500 ? 1 : 2, position: replayed });
        expect([status.primarySample.position, status.primarySampledAtMs]).toEqual([expected.position, expected.sampledAtMs]);
    });

    it("ignores samples of a primary whose lease has expired and reports of a VM that is not the holder", () => {
        const view = createView(10);
        const map = StatusMap.create(() => view);
        map.applyReport("vm-1", buildInstanceStatus(createReport("one", false, 550, 5), view.groups["log"], 6, 10), 6, 10);
        map.applyReport("vm-9", buildInstanceStatus(createReport("two", true, 550, 5), view.groups["log"], 6, 9), 6, 10);
        expect(map.statuses.get(instanceKey("log", "one"))!.primarySample.term).toBe(0);
        expect(map.statuses.has(instanceKey("log", "two"))).toBe(false);
    });

    it("never dates a sample later than its position was read, for any clock offsets and delays", () => {
        const delay = fc.integer({ min: 0, max: 5_000 });
        const clockOffset = fc.integer({ min: -100_000, max: 100_000 });
        const run = fc.property(
            delay,
            delay,
            delay,
            delay,
            clockOffset,
            (requestDelayMs, sampleOffsetMs, queryDelayMs, answerDelayMs, holderOffsetMs) => {
                const view = createView(1e9);
                const map = StatusMap.create(() => view);
                // Times are on the clock of the requesting VM; the holder's clock differs by an offset. A sample may be older than the request.
                const requestedAtMs = 10_000;
                const arrivedAtMs = requestedAtMs + requestDelayMs;
                const sentAtMs = arrivedAtMs - 1_000 + sampleOffsetMs;
                const readAtMs = sentAtMs + queryDelayMs;
                const report = buildInstanceStatus(
                    createReport("one", false, 600, sentAtMs + holderOffsetMs),
                    view.groups["log"],
                    arrivedAtMs + holderOffsetMs,
                    readAtMs + holderOffsetMs,
                );
                map.applyReport("vm-1", report, requestedAtMs, Math.max(arrivedAtMs, readAtMs) + answerDelayMs);
                expect(map.statuses.get(instanceKey("log", "one"))!.primarySampledAtMs).toBeLessThanOrEqual(readAtMs);
            },
        );
        fc.assert(run, { seed: 4, numRuns: 500 });
    });
});
