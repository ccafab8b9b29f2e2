import fc from "fast-check";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { mutationRows } from "./support/mutations.ts";
import { type ChannelMutation, PromiseSimulation, type ScriptedFault, type ScriptedOperation } from "./support/PromiseSimulation.ts";

const SEED = 20261204;
const RUNS = 300;
/** Number of runs in which the check must detect a missing guard. */
const MUTATION_RUNS = 150;
const SETTLE_STEP_MS = 8_000;
/** Share of the statements that must succeed, as the check is only meaningful for statements that run. */
const MINIMUM_SERVED_SHARE = 0.7;

const operation: fc.Arbitrary<ScriptedOperation> = fc.record({
    session: fc.integer({ min: 0, max: 5 }),
    gapMs: fc.integer({ min: 0, max: 60 }),
    kind: fc.constantFrom(
        "read",
        "write",
        "executeRead",
        "executeWrite",
        "readTransaction",
        "writeTransaction",
        "changeSetting",
        "rollback",
    ),
});

const fault: fc.Arbitrary<ScriptedFault> = fc.record({
    atMs: fc.integer({ min: 50, max: 2_000 }),
    kind: fc.constantFrom("promote", "crashLeader", "unresponsiveReplica", "lag", "lostReplies", "busy", "suspendVms", "disconnectCallers"),
    target: fc.integer({ min: 0, max: 1 }),
});

const script = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    operations: fc.array(operation, { minLength: 40, maxLength: 120 }),
    faults: fc.array(fault, { minLength: 0, maxLength: 6 }),
});

type Script = typeof script extends fc.Arbitrary<infer Value> ? Value : never;

const runScript = async ({ seed, operations, faults }: Script, mutation?: ChannelMutation): Promise<PromiseSimulation> => {
    const simulation = new PromiseSimulation(seed, mutation);
    await vi.advanceTimersByTimeAsync(100);
    operations.forEach(each => simulation.startOperation(each));
    faults.forEach(each => setTimeout(() => simulation.injectFault(each), each.atMs));
    const finished = simulation.waitForOperations();
    for (let step = 0; step < 20; step++) {
        await vi.advanceTimersByTimeAsync(SETTLE_STEP_MS);
    }
    await finished;
    return simulation;
};

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

it("keeps every consistency guarantee under random statements and faults", async () => {
    let servedCount = 0;
    let sentCount = 0;
    await fc.assert(
        fc.asyncProperty(script, async each => {
            const simulation = await runScript(each);
            servedCount += simulation.servedCount;
            sentCount += simulation.group.expectations.size;
            expect(simulation.group.violations.join("; ")).toBe("");
        }),
        { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
    expect(servedCount / sentCount).toBeGreaterThan(MINIMUM_SERVED_SHARE);
});

it.each(mutationRows)("detects that this guard is missing: $guard", async ({ mutate, expectedViolation }) => {
    const violations: string[] = [];
    for (const each of fc.sample(script, { seed: SEED, numRuns: MUTATION_RUNS })) {
        const simulation = await runScript(each, mutate);
        violations.push(...simulation.group.violations);
        if (violations.some(violation => expectedViolation.test(violation))) {
            break;
        }
    }
    expect(violations).toEqual(expect.arrayContaining([expect.stringMatching(expectedViolation)]));
});
