import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import { GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import type { FakeVm } from "./FakeVm.ts";
import type { Fault } from "./faults.ts";
import { injectFault } from "./faults.ts";
import { LeaseSimulation, ROW_KEY } from "./LeaseSimulation.ts";

/** A guard, and a scenario that violates the leadership check when the guard is disabled. */
export interface MutationRow {
    readonly guard: keyof LeaseGuards;
    /** Description of the scenario; the table in the docs repeats it word for word. */
    readonly scenario: string;
    readonly seed: number;
    readonly violation: RegExp;
    /** Returns the clock rate of the VM with an index; random within the margin when absent. */
    readonly clockRate?: (index: number) => number;
    readonly run: (simulation: LeaseSimulation, holder: FakeVm) => void;
}

const START_MS = 6_000;
/** Age of an election that the store loses. */
const ELECTION_AGE_MS = 5;
/** Time in which the elected VM has sent its row to all VMs. */
const NOTICE_TIME_MS = 200;
const TWO_LEADERS = /two leaders|is replaced while/;

/** Runs a row's scenario, in which the group already has a leader, with some guards overridden. */
export const runMutation = ({ seed, run, clockRate }: MutationRow, guards: Partial<LeaseGuards>): LeaseSimulation => {
    const simulation = new LeaseSimulation({ seed, guards, ...(clockRate === undefined ? {} : { clockRate }) }).run(START_MS + seed * 13);
    run(simulation, simulation.leader()!);
    return simulation;
};

const injectLeaderFault = (simulation: LeaseSimulation, kind: Fault["kind"], durationMs: number): void =>
    injectFault(simulation, { kind, target: 0, isLeader: true, durationMs });
const otherVmsOf = ({ vms }: LeaseSimulation, holder: FakeVm): FakeVm[] => [...vms.values()].filter(vm => vm !== holder);

const partitionFromOtherVms = (simulation: LeaseSimulation, holder: FakeVm): void =>
    simulation.partition([holder.name], otherVmsOf(simulation, holder).map(({ name }) => name));

/**
 * One witness stops receiving the holder's messages and becomes a candidate. Then the holder is partitioned from all other VMs,
 * but leads until its lease expires.
 */
const partitionWithWaitingCandidate = (
    simulation: LeaseSimulation,
    holder: FakeVm,
    onPartition: (witnesses: readonly FakeVm[]) => void,
): void => {
    const [candidate, ...witnesses] = otherVmsOf(simulation, holder);
    simulation.partition([holder.name], [candidate!.name], true);
    simulation.run(3_000);
    partitionFromOtherVms(simulation, holder);
    onPartition(witnesses);
    simulation.run(5_000);
};

/**
 * The holder is partitioned while the store is down, so that a candidate gets its majority but cannot change the row; then the
 * partition heals.
 */
const reconnectBeforeRowChange = (simulation: LeaseSimulation, holder: FakeVm): void => {
    partitionFromOtherVms(simulation, holder);
    simulation.store.isDown = true;
    simulation.run(4_000);
    simulation.heal();
};

/** The holder is isolated until it has missed the election of another VM. The store loses that election, and the holder returns. */
const loseElection = (simulation: LeaseSimulation, holder: FakeVm): void => {
    simulation.isolate([holder.name]);
    const { store, clock } = simulation;
    const versionBefore = store.read(ROW_KEY).version;
    while (store.read(ROW_KEY).version === versionBefore) {
        simulation.run(1);
    }
    store.restore(clock.nowMs - ELECTION_AGE_MS);
    simulation.run(NOTICE_TIME_MS);
    simulation.heal();
    simulation.run(5_000);
};

export const mutationTable: readonly MutationRow[] = [
    {
        guard: "isPromiseKept",
        scenario: "a candidate has its majority, the store is down, the holder returns and is granted the same version again",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            reconnectBeforeRowChange(simulation, holder);
            simulation.run(1_000);
            simulation.store.isDown = false;
            simulation.run(5_000);
        },
    },
    {
        guard: "isIncarnationChecked",
        scenario: "witnesses that promised restart, forget it and grant the holder that returns",
        seed: 17,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            reconnectBeforeRowChange(simulation, holder);
            const candidates = otherVmsOf(simulation, holder).filter(({ state }) => state.change !== undefined);
            const witnesses = otherVmsOf(simulation, holder).filter(vm => !candidates.includes(vm));
            witnesses.forEach(vm => vm.restartController(simulation.clock.nowMs));
            simulation.run(1_000);
            simulation.store.isDown = false;
            simulation.run(5_000);
        },
    },
    {
        guard: "isRestartWaitedOut",
        scenario: "witnesses restart just after they granted, and a candidate that heard nothing before asks them",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            partitionWithWaitingCandidate(
                simulation,
                holder,
                witnesses => witnesses.forEach(vm => vm.restartController(simulation.clock.nowMs)),
            );
        },
    },
    {
        guard: "areBothSetsNeeded",
        scenario: "the answer to a change from three witnesses to five is lost, and the old and the new majority have nobody in common",
        seed: 49,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            const oldWitnesses = holder.proxyLeadership!.witnesses.filter(name => name !== holder.name).map(name =>
                simulation.vms.get(name)!
            );
            const crashedWitnesses = oldWitnesses.slice(0, 3);
            crashedWitnesses.forEach(vm => simulation.crashVm(vm));
            simulation.run(9_000);
            crashedWitnesses.forEach(vm => simulation.startVm(vm));
            simulation.store.lostReplyCount = 100;
            simulation.run(2_200);
            const leader = simulation.leader() ?? holder;
            const partitionMembers = [
                leader.name,
                leader.state.stored!.row.primary,
                ...leader.state.stored!.row.witnesses.map(({ vm }) => vm),
            ];
            simulation.isolate(partitionMembers.slice(0, 4));
            simulation.store.lostReplyCount = 0;
            simulation.run(45_000);
        },
    },
    {
        guard: "isCountedFromSend",
        scenario: "grants come back late and the holder counts them from when they came",
        seed: 14,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            simulation.maximumMessageDelayMs = 1_900;
            simulation.run(3_000);
            simulation.partition([holder.name], otherVmsOf(simulation, holder).map(({ name }) => name), true);
            simulation.run(6_000);
        },
    },
    {
        guard: "isLeaseWaitedOut",
        scenario: "a candidate takes the row as soon as it has its majority",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            partitionWithWaitingCandidate(simulation, holder, () => undefined);
        },
    },
    {
        guard: "isMajorityPromised",
        scenario: "a candidate that alone does not hear the holder takes the row",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            const [candidate] = otherVmsOf(simulation, holder);
            simulation.partition([holder.name], [candidate!.name], true);
            simulation.run(8_000);
        },
    },
    {
        guard: "isVersionCompared",
        scenario: "a candidate's change of the row arrives after the holder has moved the row",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            reconnectBeforeRowChange(simulation, holder);
            simulation.run(1_000);
            simulation.store.isDown = false;
            simulation.run(8_000);
        },
    },
    {
        guard: "isPromotionConfirmed",
        scenario: "the holder leads before the order to promote has worked",
        seed: 1,
        violation: /which is in recovery/,
        run: (simulation, holder) => {
            injectLeaderFault(simulation, "crashInstance", 60_000);
            simulation.crashVm(holder);
            simulation.run(8_000);
        },
    },
    {
        guard: "areReplicasFrozen",
        scenario: "a replica goes on following the old primary after its position was read",
        seed: 1,
        violation: /is told as lost, but|is missing|is replaced while/,
        run: (simulation, holder) => {
            simulation.instances.forEach(instance => {
                instance.lagMs = 3_000;
            });
            for (let burst = 0; burst < 20; burst++) {
                holder.pausedUntilMs = simulation.clock.nowMs + 150;
                simulation.run(200);
            }
            simulation.partition([...simulation.vms.keys()], ["db-1"]);
            simulation.run(12_000);
        },
    },
    {
        guard: "isHistoryChecked",
        scenario: "a replica that kept writes of the old primary beyond the promotion is chosen at the next one",
        seed: 1,
        violation: /is told as lost, but|is missing/,
        run: (simulation, holder) => {
            simulation.isolate([holder.name, "db-1", "db-3"]);
            simulation.run(5_000);
            simulation.heal();
            simulation.run(1_000);
            simulation.instances.get("db-2")!.isDown = true;
            simulation.run(8_000);
        },
    },
    {
        guard: "isHolderIncarnationChecked",
        scenario: "a restarted holder hands over although its proxy still has the lease of before the restart",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            simulation.partition([holder.name], [...simulation.instances.keys()]);
            holder.restartController(simulation.clock.nowMs);
            simulation.run(300);
            simulation.send(holder, { kind: GroupEventKind.LeadershipTransferRequested });
            simulation.run(3_000);
        },
    },
    {
        guard: "isOwnLeaseWaitedOut",
        scenario: "a holder hands over before its own published lease has run out",
        seed: 1,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            simulation.send(holder, { kind: GroupEventKind.LeadershipTransferRequested });
            simulation.run(3_000);
        },
    },
    {
        guard: "isClockMarginKept",
        scenario: "the holder's clock is slow, the witnesses' clocks are fast",
        clockRate: index => (index === 0 ? 0.991 : 1.009),
        seed: 2,
        violation: TWO_LEADERS,
        run: (simulation, holder) => {
            partitionWithWaitingCandidate(simulation, holder, () => undefined);
        },
    },
    {
        guard: "isEraCompared",
        scenario: "the store loses an election, and the holder that was cut off changes the row before it has read it again",
        seed: 16,
        violation: TWO_LEADERS,
        run: loseElection,
    },
    {
        guard: "isRestoreWaitedOut",
        scenario: "the store loses an election, and the holder that was cut off reads the row and changes it again",
        seed: 16,
        violation: TWO_LEADERS,
        run: loseElection,
    },
];
