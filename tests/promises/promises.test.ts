import fc from "fast-check";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { mutationRows } from "./support/mutations.ts";
import { type ChannelMutation, PromiseSimulation, type ScriptedFault, type ScriptedOperation } from "./support/PromiseSimulation.ts";

const SEED = 20261204;
const RUNS = 300;
/** Runs within which the check has to notice a missing guard. */
const MUTATION_RUNS = 150;
const SETTLE_MS = 8_000;
/** Statements of the scripts that have to be served, or the check would have seen nothing. */
const SERVED_SHARE = 0.7;

const operation: fc.Arbitrary<ScriptedOperation> = fc.record({
    session: fc.integer({ min: 0, max: 5 }),
    gapMs: fc.integer({ min: 0, max: 60 }),
    kind: fc.constantFrom("read", "write", "executeRead", "executeWrite", "readTransaction", "writeTransaction", "setValue", "rollback"),
});

const fault: fc.Arbitrary<ScriptedFault> = fc.record({
    atMs: fc.integer({ min: 50, max: 2_000 }),
    kind: fc.constantFrom("promote", "crashLeader", "darkReplica", "lag", "answersLost", "busy", "suspend", "leave"),
    target: fc.integer({ min: 0, max: 1 }),
});

const script = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    operations: fc.array(operation, { minLength: 40, maxLength: 120 }),
    faults: fc.array(fault, { minLength: 0, maxLength: 6 }),
});

type Script = typeof script extends fc.Arbitrary<infer Value> ? Value : never;

const play = async ({ seed, operations, faults }: Script, mutation?: ChannelMutation): Promise<PromiseSimulation> => {
    const simulation = new PromiseSimulation(seed, mutation);
    await vi.advanceTimersByTimeAsync(100);
    operations.forEach(each => simulation.start(each));
    faults.forEach(each => setTimeout(() => simulation.inject(each), each.atMs));
    const finished = simulation.finished();
    for (let step = 0; step < 20; step++) {
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
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

it("keeps every promise over random statements and faults", async () => {
    let served = 0;
    let asked = 0;
    await fc.assert(
        fc.asyncProperty(script, async each => {
            const simulation = await play(each);
            served += simulation.served;
            asked += simulation.group.expectations.size;
            expect(simulation.group.violations.join("; ")).toBe("");
        }),
        { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
    expect(served / asked).toBeGreaterThan(SERVED_SHARE);
});

it.each(mutationRows)("notices when this guard is missing: $guard", async ({ mutate, breaks }) => {
    const found: string[] = [];
    for (const each of fc.sample(script, { seed: SEED, numRuns: MUTATION_RUNS })) {
        const simulation = await play(each, mutate);
        found.push(...simulation.group.violations);
        if (found.some(violation => breaks.test(violation))) {
            break;
        }
    }
    expect(found).toEqual(expect.arrayContaining([expect.stringMatching(breaks)]));
});
