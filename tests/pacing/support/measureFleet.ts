import { createFixedRule, createServerPaceRule, createUnpacedRule, type PacingRuleFactory } from "./pacingRules.ts";
import { type Fleet, type FleetResult, type Scenario, simulateFleet } from "./simulateFleet.ts";

/** Means of the results over the seeds. */
export interface FleetMeans extends FleetResult {
    /** BUSY and MAXCONN. */
    readonly refusalCount: number;
    readonly worstRecoveryMs: number;
}

const SEEDS = [11, 23, 37, 41, 59, 67, 73, 89, 97, 101];

export const RULES: Readonly<Record<"none" | "fixed" | "pace", PacingRuleFactory>> = {
    none: createUnpacedRule,
    fixed: createFixedRule,
    pace: createServerPaceRule,
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

export const measureFleet = (fleet: Fleet, scenario: Scenario, createRule: PacingRuleFactory): FleetMeans => {
    const results = SEEDS.map(seed => simulateFleet(fleet, scenario, createRule, seed));
    const meanOf = (field: keyof FleetResult): number => mean(results.map(result => result[field]));
    return {
        busyCount: meanOf("busyCount"),
        exhaustedCount: meanOf("exhaustedCount"),
        refusalCount: meanOf("busyCount") + meanOf("exhaustedCount"),
        openingCount: meanOf("openingCount"),
        operationCount: meanOf("operationCount"),
        lateCount: meanOf("lateCount"),
        urgentLateCount: meanOf("urgentLateCount"),
        unansweredCount: meanOf("unansweredCount"),
        recoveryMs: meanOf("recoveryMs"),
        worstRecoveryMs: Math.max(...results.map(({ recoveryMs }) => recoveryMs)),
        heldBeyondLimitMs: Math.max(...results.map(({ heldBeyondLimitMs }) => heldBeyondLimitMs)),
    };
};
