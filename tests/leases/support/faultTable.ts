import { GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import type { FakeInstance } from "./FakeInstance.ts";
import type { FakeVm } from "./FakeVm.ts";
import type { LeaseSimulation } from "./LeaseSimulation.ts";
import { STORE } from "./topology.ts";

/** The longest gap that the users' targets allow while the store is up. */
export const FAILOVER_LIMIT_MS = 8_000;
const PLANNED_CHANGE_LIMIT_MS = 1_000;
/** Limit for a fault that must not cause a failover: the cost of a single late or lost acknowledgement. */
const NO_FAILOVER_LIMIT_MS = 1_500;

/** What a row's fault affects: the simulation, with the holder and the primary at the time of the fault. */
export interface FaultContext {
    readonly simulation: LeaseSimulation;
    readonly holder: FakeVm;
    readonly primary: FakeInstance;
    /** Runs a function this long after the fault. */
    readonly after: (delayMs: number, run: () => void) => void;
    readonly otherVms: () => FakeVm[];
    readonly promote: (instance: string) => void;
}

/** A fault, the longest gap without acknowledged writes that it may cause, and the state that it must end in. */
export interface FaultRow {
    readonly name: string;
    readonly inject: (context: FaultContext) => void;
    readonly limitMs: number;
    /** Whether the row's gap counts for the targets of a failover with the store up. */
    readonly isFailover?: boolean;
    /** Term of the leader at the end of the run. */
    readonly term?: number;
    /** Primary at the end of the run. */
    readonly primary?: string;
    /** Failure domain of the holder at the end of the run. */
    readonly holderDomain?: string;
    /** Whether acknowledged writes may be reported as lost, as replication is asynchronous. */
    readonly isLossAllowed?: boolean;
    /** Whether the old holder's acknowledgements reach only its own partition, so that they do not shorten the gap. */
    readonly isHolderIsolated?: boolean;
    /** Runs before the fault, once the group has a leader. */
    readonly prepare?: (context: FaultContext) => void;
}

const failover = (name: string, inject: FaultRow["inject"], overrides: Partial<FaultRow> = {}): FaultRow => ({
    name,
    inject,
    limitMs: FAILOVER_LIMIT_MS,
    isFailover: true,
    isLossAllowed: true,
    ...overrides,
});
const withoutFailover = (name: string, inject: FaultRow["inject"]): FaultRow => ({ name, inject, limitMs: NO_FAILOVER_LIMIT_MS, term: 1 });

const crashInstance = (instance: FakeInstance): void => {
    instance.isDown = true;
};
const crashHolderAndPrimary = ({ simulation, holder, primary }: FaultContext): void => {
    simulation.crashVm(holder);
    crashInstance(primary);
};
const pauseVms = ({ simulation }: FaultContext, vms: readonly FakeVm[], durationMs: number): void =>
    vms.forEach(vm => {
        vm.pausedUntilMs = simulation.clock.nowMs + durationMs;
    });
const crashPrimaryOfLeader = ({ simulation }: FaultContext): void => {
    const stored = [...simulation.vms.values()].map(({ state }) => state.stored!).sort((left, right) => right.version - left.version)[0]!;
    crashInstance(simulation.instances.get(stored.row.primary)!);
};
const stopStore = ({ simulation, after }: FaultContext, durationMs: number): void => {
    simulation.store.isDown = true;
    after(durationMs, () => {
        simulation.store.isDown = false;
    });
};
const PAUSE_DELAYS_MS = [0, 500, 1_000, 1_500, 1_900, 2_000, 2_020, 2_040, 2_060, 2_080, 2_100, 2_150, 2_200, 2_300];

const isolations: readonly FaultRow[] = [
    failover("the primary is isolated", ({ simulation, primary }) => simulation.isolate([primary.name]), { term: 2 }),
    failover("the holder is isolated", ({ simulation, holder }) => simulation.isolate([holder.name]), {
        term: 1,
        isLossAllowed: false,
        isHolderIsolated: true,
    }),
    failover(
        "the holder and the primary are isolated together",
        ({ simulation, holder, primary }) => simulation.isolate([holder.name, primary.name]),
        {
            term: 2,
            isHolderIsolated: true,
        },
    ),
    failover(
        "the failure domain of the primary is isolated",
        ({ simulation, primary }) => simulation.isolate(simulation.nodesInDomains([primary.failureDomain])),
        { isHolderIsolated: true },
    ),
    failover("the region of the primary is isolated", ({ simulation }) => simulation.isolate(simulation.nodesInDomains(["south-a"])), {
        prepare: ({ promote }) => promote("db-3"),
    }),
    withoutFailover("another region is isolated", ({ simulation }) => simulation.isolate(simulation.nodesInDomains(["south-a"]))),
    withoutFailover("the platform is isolated", ({ simulation }) => simulation.isolate([STORE])),
    failover(
        "messages from the holder are dropped in one direction",
        ({ simulation, holder, otherVms }) => simulation.partition([holder.name], otherVms().map(({ name }) => name), true),
        { isLossAllowed: false, isHolderIsolated: true },
    ),
    failover(
        "the holder cannot reach any instance",
        ({ simulation, holder }) => simulation.partition([holder.name], [...simulation.instances.keys()]),
        {
            isLossAllowed: false,
        },
    ),
];

const crashes: readonly FaultRow[] = [
    failover("the primary crashes", ({ primary }) => crashInstance(primary), { term: 2 }),
    failover("the holder crashes", ({ simulation, holder }) => simulation.crashVm(holder), { term: 1, isLossAllowed: false }),
    failover("the holder and the primary crash together", crashHolderAndPrimary, { term: 2 }),
    failover("the promoted replica crashes before its first write", context => {
        crashHolderAndPrimary(context);
        context.after(2_150, () => crashPrimaryOfLeader(context));
    }),
    failover("a second promotion follows directly after the first", context => {
        context.promote("db-2");
        context.after(2_500, () => crashPrimaryOfLeader(context));
    }, { term: 3 }),
    failover("the old primary returns with writes that were never replicated", context => {
        context.simulation.partition([context.primary.name], ["db-2", "db-3"]);
        context.after(300, () => context.simulation.isolate([context.primary.name]));
        context.after(9_000, () => context.simulation.heal());
    }, { term: 2 }),
    failover(
        "the controllers of all VMs restart",
        ({ simulation }) => simulation.vms.forEach(vm => vm.restartController(simulation.clock.nowMs)),
        {
            term: 1,
            isLossAllowed: false,
        },
    ),
    failover("two witnesses restart, then the holder crashes", context => {
        context.otherVms().slice(0, 2).forEach(vm => vm.restartController(context.simulation.clock.nowMs));
        context.after(100, () => context.simulation.crashVm(context.holder));
    }, { isLossAllowed: false }),
    failover("the holder and the primary crash, replies of the store are lost, and the new primary crashes", context => {
        context.simulation.store.lostReplyCount = 4;
        crashHolderAndPrimary(context);
        context.after(9_000, () => {
            const leader = context.simulation.leader()!;
            crashInstance(context.simulation.instances.get(leader.proxyLeadership!.primary)!);
        });
    }),
];

const pauses: readonly FaultRow[] = [
    withoutFailover("the holder pauses for 1 s", context => pauseVms(context, [context.holder], 1_000)),
    withoutFailover("the primary pauses for 1 s", ({ simulation, primary }) => {
        primary.pausedUntilMs = simulation.clock.nowMs + 1_000;
    }),
    withoutFailover("all VMs pause for 1 s", context => pauseVms(context, [...context.simulation.vms.values()], 1_000)),
    failover("the holder pauses for 5 s", context => pauseVms(context, [context.holder], 5_000), { isLossAllowed: false }),
    ...PAUSE_DELAYS_MS.map(pauseDelayMs =>
        failover(`all candidates pause for 1.5 s, ${pauseDelayMs} ms after the crashes`, context => {
            crashHolderAndPrimary(context);
            context.after(pauseDelayMs, () => pauseVms(context, context.otherVms(), 1_500));
        })
    ),
    ...PAUSE_DELAYS_MS.map(pauseDelayMs =>
        failover(`two witnesses pause for 4 s, ${pauseDelayMs} ms after the crashes`, context => {
            crashHolderAndPrimary(context);
            context.after(pauseDelayMs, () => pauseVms(context, context.otherVms().slice(0, 2), 4_000));
        })
    ),
    failover("a promotion order is executed late", context => {
        crashHolderAndPrimary(context);
        context.after(2_050, () => {
            for (const name of ["db-2", "db-3"]) {
                context.simulation.instances.get(name)!.pausedUntilMs = context.simulation.clock.nowMs + 1_300;
            }
        });
    }),
];

const storeFaults: readonly FaultRow[] = [
    withoutFailover("the store is down for a minute", context => stopStore(context, 60_000)),
    withoutFailover("the store stays slow", ({ simulation }) => {
        simulation.store.maximumDelayMs = 3_000;
    }),
    failover("the holder and the primary crash and replies of the store are lost", context => {
        context.simulation.store.lostReplyCount = 3;
        crashHolderAndPrimary(context);
    }),
    failover("the holder and the primary crash while the store takes up to 800 ms per call", context => {
        context.simulation.store.maximumDelayMs = 800;
        crashHolderAndPrimary(context);
    }),
    {
        name: "the holder and the primary crash while the store is down",
        inject: context => {
            stopStore(context, 10_000);
            crashHolderAndPrimary(context);
        },
        limitMs: 10_000 + FAILOVER_LIMIT_MS,
        isLossAllowed: true,
    },
    {
        name: "only the holder crashes while the store is down",
        inject: context => {
            stopStore(context, 10_000);
            context.simulation.crashVm(context.holder);
        },
        limitMs: 10_000 + FAILOVER_LIMIT_MS,
        term: 1,
    },
    {
        name: "the store is down during the second promotion",
        inject: context => {
            context.promote("db-2");
            context.after(2_500, () => {
                stopStore(context, 10_000);
                crashPrimaryOfLeader(context);
            });
        },
        limitMs: 10_000 + FAILOVER_LIMIT_MS,
        isLossAllowed: true,
    },
    {
        name: "the candidates pause after a majority has promised, and the holder returns",
        inject: context => {
            context.simulation.isolate([context.holder.name]);
            stopStore(context, 6_000);
            context.after(2_500, () => pauseVms(context, context.otherVms(), 3_000));
            context.after(3_000, () => context.simulation.heal());
        },
        limitMs: 6_000 + FAILOVER_LIMIT_MS,
        term: 1,
    },
];

const RESTORED_AGE_MS = 12_000;
const promoteAnother: FaultRow["prepare"] = ({ promote }) => promote("db-2");
const restoreStore = ({ simulation }: FaultContext): void => simulation.store.restore(simulation.clock.nowMs - RESTORED_AGE_MS);

/** Each run promotes another instance first, which the restored store does not know. */
const restores: readonly FaultRow[] = [
    { ...withoutFailover("the store is restored from a copy before the last promotion", restoreStore), term: 2, prepare: promoteAnother },
    failover("the store is restored from a copy before the last promotion, and the holder and the primary crash", context => {
        restoreStore(context);
        crashHolderAndPrimary(context);
    }, { term: 3, prepare: promoteAnother }),
    failover("the store is restored, and the holder and the primary crash later", context => {
        restoreStore(context);
        context.after(3_000, () => crashHolderAndPrimary(context));
    }, { term: 3, prepare: promoteAnother }),
    {
        name: "the store is restored, and an operator promotes a replica",
        inject: context => {
            restoreStore(context);
            context.after(3_000, () => context.promote("db-3"));
        },
        limitMs: PLANNED_CHANGE_LIMIT_MS,
        term: 3,
        primary: "db-3",
        prepare: promoteAnother,
    },
];

const planned: readonly FaultRow[] = [
    { name: "an operator promotes a replica", inject: ({ promote }) => promote("db-2"), limitMs: PLANNED_CHANGE_LIMIT_MS, term: 2 },
    {
        name: "an operator promotes a replica in another region",
        inject: ({ promote }) => promote("db-3"),
        limitMs: PLANNED_CHANGE_LIMIT_MS,
        term: 2,
    },
    {
        name: "the VM of the holder leaves",
        inject: ({ simulation, holder }) => simulation.send(holder, { kind: GroupEventKind.LeadershipTransferRequested }),
        limitMs: PLANNED_CHANGE_LIMIT_MS,
        term: 1,
    },
    {
        name: "the VM of the holder leaves during an outage of the store",
        inject: context => {
            stopStore(context, 20_000);
            context.after(100, () => context.simulation.send(context.holder, { kind: GroupEventKind.LeadershipTransferRequested }));
        },
        limitMs: PLANNED_CHANGE_LIMIT_MS,
        term: 1,
    },
    {
        name: "leadership returns to the failure domain of the primary",
        inject: ({ promote }) => promote("db-2"),
        limitMs: PLANNED_CHANGE_LIMIT_MS,
        term: 2,
        holderDomain: "north-b",
    },
    failover("the only replica with the latest writes responds late", context => {
        const upToDateReplica = context.simulation.instances.get("db-3")!;
        context.simulation.instances.get("db-2")!.lagMs = 60_000;
        context.after(3_000, () => {
            context.simulation.crashVm(context.holder);
            crashInstance(context.primary);
        });
        context.after(4_500, () => {
            upToDateReplica.pausedUntilMs = context.simulation.clock.nowMs + 1_000;
        });
    }, { primary: "db-3" }),
];

/** Every fault that the leases must tolerate, each with the limit of the gap without acknowledged writes. */
export const faultTable: readonly FaultRow[] = [...isolations, ...crashes, ...pauses, ...storeFaults, ...restores, ...planned];
