import fc from "fast-check";
import { setTimeout as delay } from "node:timers/promises";
import { expect, it } from "vitest";
import { RestoredFleet } from "./support/RestoredFleet.ts";

/** The environment variables RESTORE_RUNS and RESTORE_SEED change the number of schedules and the seed; RESTORE_INDEX runs one of them alone. */
const RUNS = Number(process.env["RESTORE_RUNS"] ?? 8);
const SEED = Number(process.env["RESTORE_SEED"] ?? 1);
const INDEX = process.env["RESTORE_INDEX"];
/** Schedules that run at the same time. */
const CONCURRENCY = 8;
/** Time after the last trouble in which the VMs have to hold what is true. */
const SETTLING_LIMIT_MS = 10_000;
const POLL_MS = 100;
const START_MS = 1_500;
const GRACE_MS = 800;
const VM_PORTS = 20;
const TEST_LIMIT_MS = 3_600_000;

interface Step {
    readonly kind: keyof typeof handlers;
    readonly target: number;
    readonly durationMs: number;
    readonly pauseMs: number;
}

const handlers = {
    configure: fleet => fleet.configure(),
    addInstance: fleet => fleet.addInstance(),
    drainInstance: (fleet, { target }) => fleet.drainInstance(target),
    removeInstance: (fleet, { target }) => fleet.removeInstance(target),
    addVm: fleet => fleet.addVm(),
    removeVm: (fleet, { target }) => fleet.removeVm(target, GRACE_MS),
    cutVm: (fleet, { target, durationMs }) => fleet.cutVm(target, durationMs),
    takeDown: (fleet, { durationMs }) => fleet.takeDown(durationMs),
    restore: (fleet, { target, durationMs }) => fleet.restore(target, durationMs / 4, durationMs / 2),
} satisfies Readonly<Record<string, (fleet: RestoredFleet, step: Step) => Promise<void> | void>>;

const KINDS = Object.keys(handlers) as Step["kind"][];

const schedules = fc.array(
    fc.record<Step>({
        kind: fc.oneof({ arbitrary: fc.constantFrom(...KINDS), weight: 3 }, { arbitrary: fc.constant<Step["kind"]>("restore"), weight: 1 }),
        target: fc.nat(20),
        durationMs: fc.integer({ min: 50, max: 1_500 }),
        pauseMs: fc.integer({ min: 0, max: 500 }),
    }),
    { minLength: 10, maxLength: 25 },
);

const runSchedule = async (steps: readonly Step[]): Promise<readonly string[]> => {
    const fleet = await RestoredFleet.start(VM_PORTS);
    await delay(START_MS);
    const running: Promise<void>[] = [];
    for (const step of steps) {
        running.push(Promise.resolve(handlers[step.kind](fleet, step)));
        await delay(step.pauseMs);
    }
    await Promise.all(running);
    fleet.writeAgain();
    const endsAtMs = performance.now() + SETTLING_LIMIT_MS;
    while (fleet.differences().length > 0 && performance.now() < endsAtMs) {
        await delay(POLL_MS);
    }
    fleet.stop();
    return [...fleet.violations, ...fleet.differences()];
};

it("VMs keep what a restored store has lost, or go back to what it has brought back", async () => {
    const queue = fc.sample(schedules, { seed: SEED, numRuns: RUNS }).map((steps, index) => ({ steps, index }))
        .filter(({ index }) => INDEX === undefined || index === Number(INDEX));
    const failures: string[] = [];
    const work = async (): Promise<void> => {
        for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
            const { steps, index } = next;
            failures.push(...(await runSchedule(steps)).map(text => `schedule ${index} of seed ${SEED}: ${text}`));
        }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, work));
    expect(failures).toEqual([]);
}, TEST_LIMIT_MS);
