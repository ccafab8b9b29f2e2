import { describe, expect, test } from "vitest";
import { FAILOVER_LIMIT_MS, faultTable } from "./support/faultTable.ts";
import { runFaultRow } from "./support/runFaultRow.ts";

const SEEDS = [1, 2, 3, 4, 5];
const MEDIAN_LIMIT_MS = 3_000;

describe("fault table", () => {
    const failoverGaps: number[] = [];

    test.each(faultTable)("$name", row => {
        for (const seed of SEEDS) {
            const { gapMs, simulation } = runFaultRow(row, seed);
            expect(simulation.check.violations).toEqual([]);
            expect(gapMs, `seed ${seed}`).toBeLessThanOrEqual(row.limitMs);
            if (row.term !== undefined) {
                expect(simulation.leader()?.proxyLeadership?.term).toBe(row.term);
            }
            if (row.primary !== undefined) {
                expect(simulation.leader()?.proxyLeadership?.primary).toBe(row.primary);
            }
            if (row.holderDomain !== undefined) {
                expect(simulation.leader()?.failureDomain).toBe(row.holderDomain);
            }
            if (row.isLossAllowed !== true) {
                expect(simulation.check.lostWrites.size).toBe(0);
            }
            if (process.env["LEASE_VERBOSE"] !== undefined) {
                console.log(`${gapMs.toFixed(0)} ms, seed ${seed}: ${row.name}`);
            }
            if (row.isFailover === true) {
                failoverGaps.push(gapMs);
            }
        }
    });

    test("failover gaps stay within the median and maximum limits while the store is up", () => {
        const sorted = failoverGaps.sort((left, right) => left - right);
        const median = sorted[Math.floor(sorted.length / 2)]!;
        console.log(`failover gap: ${sorted.length} runs, p50 ${median.toFixed(0)} ms, worst ${sorted.at(-1)!.toFixed(0)} ms`);
        expect(median).toBeLessThanOrEqual(MEDIAN_LIMIT_MS);
        expect(sorted.at(-1)).toBeLessThanOrEqual(FAILOVER_LIMIT_MS);
    });
});
