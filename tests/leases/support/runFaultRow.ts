import { GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import type { FaultContext, FaultRow } from "./faultTable.ts";
import { LeaseSimulation } from "./LeaseSimulation.ts";

const STABLE_AFTER_MS = 8_000;
const RUN_MS = 25_000;

/** The simulation after a row's run, and its longest time without an acknowledged write. */
export interface FaultOutcome {
    readonly gapMs: number;
    readonly simulation: LeaseSimulation;
}

const createContext = (simulation: LeaseSimulation): FaultContext => {
    const holder = simulation.leader()!;
    return {
        simulation,
        holder,
        primary: simulation.instances.get(holder.proxyLeadership!.primary)!,
        after: (delayMs, run) => simulation.clock.after(delayMs, run),
        otherVms: () => [...simulation.vms.values()].filter(vm => vm !== holder),
        promote: instance => simulation.send(simulation.leader()!, { kind: GroupEventKind.PromotionRequested, instance }),
    };
};

/** Runs a row of the fault table with a seed and measures the gap from the fault on. */
export const runFaultRow = (row: FaultRow, seed: number): FaultOutcome => {
    const simulation = new LeaseSimulation({ seed }).run(STABLE_AFTER_MS);
    row.prepare?.(createContext(simulation));
    simulation.run(row.prepare === undefined ? seed * 37 : STABLE_AFTER_MS);
    const atMs = simulation.clock.nowMs;
    const context = createContext(simulation);
    row.inject(context);
    simulation.run(row.limitMs + RUN_MS);
    const isolatedVm = row.isHolderIsolated === true ? context.holder.name : undefined;
    return { gapMs: simulation.check.longestGapMs(atMs, simulation.clock.nowMs, isolatedVm), simulation };
};
