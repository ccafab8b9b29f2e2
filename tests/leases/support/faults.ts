import { GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import type { FakeInstance } from "./FakeInstance.ts";
import type { FakeVm } from "./FakeVm.ts";
import type { LeaseSimulation } from "./LeaseSimulation.ts";
import { DOMAINS, STORE } from "./topology.ts";

/** A scheduled fault. It affects the VM and the instance with index `target`, or with `isLeader` the leader and its primary. */
export interface Fault {
    readonly kind: keyof typeof faultInjectors;
    readonly target: number;
    readonly isLeader: boolean;
    readonly atMs: number;
    readonly durationMs: number;
}

type FaultInjector = (simulation: LeaseSimulation, vm: FakeVm, instance: FakeInstance, durationMs: number) => void;

const scheduleUndo = (simulation: LeaseSimulation, durationMs: number, undo: () => void): void => simulation.clock.after(durationMs, undo);

/** Injectors by kind of fault. The next `heal` removes all network partitions at once. */
export const faultInjectors = {
    pauseVm: ({ clock }, vm, _instance, durationMs) => {
        vm.pausedUntilMs = clock.nowMs + durationMs;
    },
    pauseHolderAndWitnesses: ({ clock, vms }, vm, _instance, durationMs) => {
        vm.pausedUntilMs = clock.nowMs + durationMs;
        [...vms.values()].slice(0, 3).forEach(other => {
            other.pausedUntilMs = clock.nowMs + durationMs / 2;
        });
    },
    crashVm: (simulation, vm, _instance, durationMs) => {
        simulation.crashVm(vm);
        scheduleUndo(simulation, durationMs, () => simulation.startVm(vm));
    },
    restartController: ({ clock }, vm) => vm.restartController(clock.nowMs),
    restartAllControllers: ({ clock, vms }) => vms.forEach(vm => vm.restartController(clock.nowMs)),
    crashInstance: (simulation, _vm, instance, durationMs) => {
        instance.isDown = true;
        scheduleUndo(simulation, durationMs, () => {
            instance.isDown = false;
        });
    },
    pauseInstance: ({ clock }, _vm, instance, durationMs) => {
        instance.pausedUntilMs = clock.nowMs + durationMs;
    },
    lag: (simulation, _vm, instance, durationMs) => {
        instance.lagMs = 500;
        scheduleUndo(simulation, durationMs, () => {
            instance.lagMs = 2;
        });
    },
    isolateVm: (simulation, vm, _instance, durationMs) => {
        simulation.isolate([vm.name]);
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    isolateInstance: (simulation, _vm, instance, durationMs) => {
        simulation.isolate([instance.name]);
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    isolateHolderWithPrimary: (simulation, vm, instance, durationMs) => {
        simulation.isolate([vm.name, instance.name]);
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    isolateDomain: (simulation, _vm, { failureDomain }, durationMs) => {
        simulation.isolate(simulation.nodesInDomains([failureDomain]));
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    isolateRegion: (simulation, _vm, _instance, durationMs) => {
        simulation.isolate(simulation.nodesInDomains([DOMAINS[2]!]));
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    partitionReplication: (simulation, _vm, instance, durationMs) => {
        simulation.partition([instance.name], [...simulation.instances.keys()]);
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    partitionOneWay: (simulation, vm, _instance, durationMs) => {
        simulation.partition([vm.name], [...simulation.vms.keys()].filter(name => name !== vm.name), true);
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    partitionFromStore: (simulation, vm, _instance, durationMs) => {
        simulation.partition([vm.name], [STORE]);
        scheduleUndo(simulation, durationMs, () => simulation.heal());
    },
    storeDown: (simulation, _vm, _instance, durationMs) => {
        simulation.store.isDown = true;
        scheduleUndo(simulation, durationMs, () => {
            simulation.store.isDown = false;
        });
    },
    restoreStore: ({ store, clock }, _vm, _instance, durationMs) => store.restore(clock.nowMs - durationMs),
    storeSlow: (simulation, _vm, _instance, durationMs) => {
        simulation.store.maximumDelayMs = durationMs;
        scheduleUndo(simulation, durationMs * 2, () => {
            simulation.store.maximumDelayMs = 0;
        });
    },
    loseStoreReplies: ({ store }) => {
        store.lostReplyCount += 2;
    },
    slowMessages: (simulation, _vm, _instance, durationMs) => {
        simulation.maximumMessageDelayMs = durationMs;
        scheduleUndo(simulation, durationMs, () => {
            simulation.maximumMessageDelayMs = 0;
        });
    },
    plannedPromotion: (simulation, vm, instance) =>
        simulation.send(simulation.leader() ?? vm, { kind: GroupEventKind.PromotionRequested, instance: instance.name }),
    transferLeadership: (simulation, vm) =>
        simulation.send(simulation.leader() ?? vm, { kind: GroupEventKind.LeadershipTransferRequested }),
} satisfies Readonly<Record<string, FaultInjector>>;

/** Injects a fault at the current virtual time. */
export const injectFault = (simulation: LeaseSimulation, { kind, target, isLeader, durationMs }: Omit<Fault, "atMs">): void => {
    const vms = [...simulation.vms.values()];
    const leader = simulation.leader();
    const vm = isLeader && leader !== undefined ? leader : vms[target % vms.length]!;
    const primary = leader?.proxyLeadership?.primary ?? "";
    const instances = [...simulation.instances.values()];
    const instance = (isLeader ? simulation.instances.get(primary) : undefined) ?? instances[target % instances.length]!;
    const inject: FaultInjector = faultInjectors[kind];
    inject(simulation, vm, instance, durationMs);
};

/**
 * Injects the faults at their times, at `healAtMs` removes all partitions, ends message loss and starts all VMs and instances, then
 * runs until `endMs`.
 *
 * @returns the simulation
 */
export const runWithFaults = (
    simulation: LeaseSimulation,
    schedule: readonly Fault[],
    healAtMs: number,
    endMs: number,
): LeaseSimulation => {
    for (const fault of schedule) {
        simulation.clock.at(fault.atMs, () => injectFault(simulation, fault));
    }
    simulation.clock.at(healAtMs, () => {
        simulation.heal();
        simulation.lossRate = 0;
        simulation.vms.forEach(vm => simulation.startVm(vm));
        simulation.instances.forEach(instance => {
            instance.isDown = false;
        });
    });
    return simulation.run(endMs);
};
