import { GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import type { FaultRow, FaultScene } from "./faultTable.ts";
import { LeaseSimulation } from "./LeaseSimulation.ts";

const STABLE_AFTER_MS = 8_000;
const RUN_MS = 25_000;

/** What a row's run showed. */
export interface FaultOutcome {
    readonly gapMs: number;
    readonly simulation: LeaseSimulation;
}

const createScene = (simulation: LeaseSimulation): FaultScene => {
    const holder = simulation.leader()!;
    return {
        simulation,
        holder,
        primary: simulation.instances.get(holder.proxy!.primary)!,
        after: (delayMs, act) => simulation.clock.after(delayMs, act),
        others: () => [...simulation.vms.values()].filter(vm => vm !== holder),
        promote: instance => simulation.send(simulation.leader()!, { kind: GroupEventKind.PromotionRequested, instance }),
    };
};

/** Runs a row of the fault table with a seed. */
export const runFaultRow = (row: FaultRow, seed: number): FaultOutcome => {
    const simulation = new LeaseSimulation({ seed }).run(STABLE_AFTER_MS);
    row.prepare?.(createScene(simulation));
    simulation.run(row.prepare === undefined ? seed * 37 : STABLE_AFTER_MS);
    const atMs = simulation.clock.nowMs;
    const scene = createScene(simulation);
    row.act(scene);
    simulation.run(row.limitMs + RUN_MS);
    const cutOffVm = row.isHolderCutOff === true ? scene.holder.name : undefined;
    return { gapMs: simulation.check.longestGapMs(atMs, simulation.clock.nowMs, cutOffVm), simulation };
};
