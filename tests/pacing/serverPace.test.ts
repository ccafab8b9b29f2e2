import { afterAll, describe, expect, it } from "vitest";
import { type FleetMeans, measureFleet, RULES } from "./support/measureFleet.ts";
import { FLEETS, SCENARIOS } from "./support/scenarios.ts";

/** Targets of docs/design/server-pace.md, which were stated before the first measurement. */
const REFUSAL_SHARE = 0.5;
const FEW_REFUSALS = 10;
const RECOVERY_MARGIN_MS = 100;
const LATE_FACTOR = 1.05;
const LATE_MARGIN = 5;

const isTablePrinted = process.env["PACING_TABLE"] !== undefined;

const formatRow = (values: readonly (string | number)[]): string =>
    `| ${values.map(value => typeof value === "number" ? Math.round(value).toString() : value).join(" | ")} |`;

describe.each(FLEETS)("pacing of $vmCount VMs with $operationsPerS operations per second", fleet => {
    const measured = SCENARIOS.map(scenario => ({
        name: scenario.name,
        // Only part of the table: its millions of attempts take most of the time.
        none: isTablePrinted ? measureFleet(fleet, scenario, RULES.none) : undefined,
        fixed: measureFleet(fleet, scenario, RULES.fixed),
        pace: measureFleet(fleet, scenario, RULES.pace),
    }));
    const sumRefusals = (rule: "fixed" | "pace"): number => measured.reduce((sum, each) => sum + each[rule].refusalCount, 0);

    afterAll(() => {
        if (isTablePrinted) {
            const formatMeans = (name: string, rule: string, means: FleetMeans): string =>
                formatRow([
                    ...[fleet.vmCount, fleet.operationsPerS, name, rule, means.busyCount, means.exhaustedCount, means.recoveryMs],
                    ...[
                        means.worstRecoveryMs,
                        means.lateCount,
                        means.urgentLateCount,
                        means.unansweredCount,
                        means.operationCount,
                        means.openingCount,
                    ],
                ]);
            console.log(
                measured.flatMap(each => (["none", "fixed", "pace"] as const).map(rule => formatMeans(each.name, rule, each[rule]!)))
                    .join("\n"),
            );
        }
    });

    it("would fail if the fleet flooded an instance as it does with the fixed backoff", () => {
        expect(sumRefusals("pace")).toBeLessThanOrEqual(REFUSAL_SHARE * sumRefusals("fixed"));
    });

    it.each(measured)("would fail if the pace caused more refusals than the fixed backoff: $name", ({ fixed, pace }) => {
        expect(pace.refusalCount).toBeLessThanOrEqual(Math.max(FEW_REFUSALS, fixed.refusalCount));
    });

    it.each(measured)("would fail if the pace left the instance idle longer than the fixed backoff: $name", ({ fixed, pace }) => {
        expect(pace.recoveryMs).toBeLessThanOrEqual(fixed.recoveryMs + RECOVERY_MARGIN_MS);
    });

    it.each(measured)("would fail if the pace made more operations late: $name", ({ fixed, pace }) => {
        expect(pace.lateCount).toBeLessThanOrEqual(LATE_FACTOR * fixed.lateCount + LATE_MARGIN);
    });

    it.each(measured)("would fail if a statement waited for its turn beyond its limit: $name", ({ pace }) => {
        expect(pace.heldBeyondLimitMs).toBeLessThanOrEqual(0);
    });
});
