import fc from "fast-check";
import type { ReplacementSimulation } from "./ReplacementSimulation.ts";

const LATE_ORDER_MS = 4_000;
const COMMIT_INTERVAL_MS = 20;
const SUSPICION_INTERVAL_MS = 100;

/** Time at which all faults have ended, and end of a run, in milliseconds. A failover with other failures may take 8 s. */
export const HEAL_AT_MS = 20_000;
export const END_MS = 40_000;

/** A fault of a random schedule. */
export interface Fault<Kind extends string = string> {
    readonly kind: Kind;
    readonly target: number;
    readonly atMs: number;
    readonly durationMs: number;
}

export type Injector = (simulation: ReplacementSimulation, fault: Fault) => void;

/** Faults that the schedules share. */
export const sharedInjectors = {
    failPrimary: (simulation, { atMs, durationMs }) => {
        const primary = simulation.servingLeader;
        if (primary !== undefined) {
            primary.condition = durationMs % 2 === 0 ? "refusing" : "unresponsive";
            simulation.reportSuspicions();
            simulation.at(atMs + durationMs, () => primary.condition = "up");
        }
    },
    suspendVm: (simulation, { target, atMs, durationMs }) => {
        const vm = simulation.vms[target % simulation.vms.length]!;
        vm.isSuspended = true;
        simulation.at(atMs + durationMs, () => simulation.resumeVm(vm.name));
    },
    storeDown: (simulation, { atMs, durationMs }) => {
        simulation.isStoreDown = true;
        simulation.at(atMs + durationMs, () => simulation.isStoreDown = false);
    },
    loseClaims: (simulation, { atMs, durationMs }) => {
        simulation.lostClaimShare = 0.6;
        simulation.at(atMs + durationMs, () => simulation.lostClaimShare = 0);
    },
    loseOrders: (simulation, { atMs, durationMs }) => {
        simulation.lostOrderShare = 0.6;
        simulation.lateOrderDelayMs = LATE_ORDER_MS;
        simulation.at(atMs + durationMs, () => simulation.lostOrderShare = 0);
    },
    drainPrimary: (simulation, { atMs, durationMs }) => {
        const primary = simulation.servingLeader;
        if (primary !== undefined) {
            primary.isDraining = true;
            simulation.at(atMs + durationMs, () => primary.isDraining = false);
        }
    },
} satisfies Readonly<Record<string, Injector>>;

/** Draws a fault; it ends before `HEAL_AT_MS`. */
export const drawFault = <Kind extends string>(kind: fc.Arbitrary<Kind>): fc.Arbitrary<Fault<Kind>> =>
    fc.record({
        kind,
        target: fc.nat(3),
        atMs: fc.integer({ min: 4_000, max: HEAL_AT_MS - 6_000 }),
        durationMs: fc.integer({ min: 50, max: 6_000 }),
    });

/** Draws a schedule of faults. */
export const drawSchedule = <Kind extends string>(kind: fc.Arbitrary<Kind>): fc.Arbitrary<Fault<Kind>[]> =>
    fc.array(drawFault(kind), { minLength: 2, maxLength: 8 });

/** Injects a schedule of faults. */
export const inject = <Kind extends string>(
    simulation: ReplacementSimulation,
    injectors: Readonly<Record<Kind, Injector>>,
    schedule: readonly Fault<Kind>[],
): void => {
    for (const fault of schedule) {
        simulation.at(fault.atMs, () => injectors[fault.kind](simulation, fault));
    }
};

/** Runs a simulation to the end, with commits all along and suspicions while no primary serves. */
export const runToEnd = (simulation: ReplacementSimulation): void => {
    for (let atMs = 0; atMs < END_MS; atMs += COMMIT_INTERVAL_MS) {
        simulation.at(atMs, () => {
            simulation.commitWrite();
            if (simulation.servingLeader === undefined && atMs % SUSPICION_INTERVAL_MS === 0) {
                simulation.reportSuspicions();
            }
        });
    }
    simulation.run(END_MS);
};
