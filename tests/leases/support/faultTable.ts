import { GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import type { FakeInstance } from "./FakeInstance.ts";
import type { FakeVm } from "./FakeVm.ts";
import type { LeaseSimulation } from "./LeaseSimulation.ts";
import { STORE } from "./places.ts";

/** The largest gap that the users' targets allow while the store is up. */
export const FAILOVER_LIMIT_MS = 8_000;
const PLANNED_LIMIT_MS = 1_000;
/** A fault that the group must ride out: what a single late or lost acknowledgement costs. */
const UNTOUCHED_LIMIT_MS = 1_500;

/** What a row acts on: the simulation, its leader and the primary at the moment of the fault. */
export interface FaultScene {
    readonly simulation: LeaseSimulation;
    readonly holder: FakeVm;
    readonly primary: FakeInstance;
    /** Runs an act some time after the fault. */
    readonly after: (delayMs: number, act: () => void) => void;
    readonly others: () => FakeVm[];
    readonly promote: (instance: string) => void;
}

/** A row of the fault table. */
export interface FaultRow {
    readonly name: string;
    readonly act: (scene: FaultScene) => void;
    readonly limitMs: number;
    /** Whether the row counts as a failover with the store up. */
    readonly isFailover?: boolean;
    /** Term that the group must end in. */
    readonly term?: number;
    /** Instance that the group must end with. */
    readonly primary?: string;
    /** Failure domain in which the holder must be in the end. */
    readonly holderDomain?: string;
    /** Whether acknowledged writes may be told as lost, as replication is asynchronous. */
    readonly mayLose?: boolean;
    /** Whether the old holder's acknowledgements reach only the isolated side, so that they don't shorten the gap. */
    readonly isHolderCutOff?: boolean;
    /** Runs before the fault, once a leader stands. */
    readonly prepare?: (scene: FaultScene) => void;
}

const failover = (name: string, act: FaultRow["act"], more: Partial<FaultRow> = {}): FaultRow => ({
    name,
    act,
    limitMs: FAILOVER_LIMIT_MS,
    isFailover: true,
    mayLose: true,
    ...more,
});
const untouched = (name: string, act: FaultRow["act"]): FaultRow => ({ name, act, limitMs: UNTOUCHED_LIMIT_MS, term: 1 });

const crash = (instance: FakeInstance): void => {
    instance.isDown = true;
};
const crashBoth = ({ simulation, holder, primary }: FaultScene): void => {
    simulation.crashVm(holder);
    crash(primary);
};
const pause = ({ simulation }: FaultScene, vms: readonly FakeVm[], durationMs: number): void =>
    vms.forEach(vm => {
        vm.pausedUntilMs = simulation.clock.nowMs + durationMs;
    });
const crashPrimaryOfLeader = ({ simulation }: FaultScene): void => {
    const stored = [...simulation.vms.values()].map(({ state }) => state.stored!).sort((left, right) => right.version - left.version)[0]!;
    crash(simulation.instances.get(stored.row.primary)!);
};
const stopStore = ({ simulation, after }: FaultScene, durationMs: number): void => {
    simulation.store.isDown = true;
    after(durationMs, () => {
        simulation.store.isDown = false;
    });
};
const STEPS_MS = [0, 500, 1_000, 1_500, 1_900, 2_000, 2_020, 2_040, 2_060, 2_080, 2_100, 2_150, 2_200, 2_300];

const isolations: readonly FaultRow[] = [
    failover("the primary is isolated", ({ simulation, primary }) => simulation.isolate([primary.name]), { term: 2 }),
    failover("the holder is isolated", ({ simulation, holder }) => simulation.isolate([holder.name]), {
        term: 1,
        mayLose: false,
        isHolderCutOff: true,
    }),
    failover(
        "holder and primary are isolated together",
        ({ simulation, holder, primary }) => simulation.isolate([holder.name, primary.name]),
        {
            term: 2,
            isHolderCutOff: true,
        },
    ),
    failover(
        "the failure domain of the primary is isolated",
        ({ simulation, primary }) => simulation.isolate(simulation.placesIn([primary.failureDomain])),
        { isHolderCutOff: true },
    ),
    failover("the region of the primary is isolated", ({ simulation }) => simulation.isolate(simulation.placesIn(["south-a"])), {
        prepare: ({ promote }) => promote("db-3"),
    }),
    untouched("another region is isolated", ({ simulation }) => simulation.isolate(simulation.placesIn(["south-a"]))),
    untouched("the platform is isolated", ({ simulation }) => simulation.isolate([STORE])),
    failover(
        "messages of the holder are cut one way",
        ({ simulation, holder, others }) => simulation.cut([holder.name], others().map(({ name }) => name), true),
        { mayLose: false, isHolderCutOff: true },
    ),
    failover(
        "the holder cannot reach any instance",
        ({ simulation, holder }) => simulation.cut([holder.name], [...simulation.instances.keys()]),
        {
            mayLose: false,
        },
    ),
];

const crashes: readonly FaultRow[] = [
    failover("the primary dies", ({ primary }) => crash(primary), { term: 2 }),
    failover("the holder dies", ({ simulation, holder }) => simulation.crashVm(holder), { term: 1, mayLose: false }),
    failover("holder and primary die together", crashBoth, { term: 2 }),
    failover("the promoted replica dies before its first write", scene => {
        crashBoth(scene);
        scene.after(2_150, () => crashPrimaryOfLeader(scene));
    }),
    failover("two promotions back to back", scene => {
        scene.promote("db-2");
        scene.after(2_500, () => crashPrimaryOfLeader(scene));
    }, { term: 3 }),
    failover("the old primary returns with writes that nobody else has", scene => {
        scene.simulation.cut([scene.primary.name], ["db-2", "db-3"]);
        scene.after(300, () => scene.simulation.isolate([scene.primary.name]));
        scene.after(9_000, () => scene.simulation.heal());
    }, { term: 2 }),
    failover(
        "the controllers of all VMs restart",
        ({ simulation }) => simulation.vms.forEach(vm => vm.restartController(simulation.clock.nowMs)),
        {
            term: 1,
            mayLose: false,
        },
    ),
    failover("two witnesses restart, then the holder dies", scene => {
        scene.others().slice(0, 2).forEach(vm => vm.restartController(scene.simulation.clock.nowMs));
        scene.after(100, () => scene.simulation.crashVm(scene.holder));
    }, { mayLose: false }),
    failover("two failures of holder and primary in turn, the store's answers lost", scene => {
        scene.simulation.store.lostAnswers = 4;
        crashBoth(scene);
        scene.after(9_000, () => {
            const leader = scene.simulation.leader()!;
            crash(scene.simulation.instances.get(leader.proxy!.primary)!);
        });
    }),
];

const pauses: readonly FaultRow[] = [
    untouched("the holder pauses for 1 s", scene => pause(scene, [scene.holder], 1_000)),
    untouched("the primary pauses for 1 s", ({ simulation, primary }) => {
        primary.pausedUntilMs = simulation.clock.nowMs + 1_000;
    }),
    untouched("all VMs pause for 1 s", scene => pause(scene, [...scene.simulation.vms.values()], 1_000)),
    failover("the holder pauses for 5 s", scene => pause(scene, [scene.holder], 5_000), { mayLose: false }),
    ...STEPS_MS.map(stepMs =>
        failover(`all candidates pause for 1.5 s, ${stepMs} ms after the deaths`, scene => {
            crashBoth(scene);
            scene.after(stepMs, () => pause(scene, scene.others(), 1_500));
        })
    ),
    ...STEPS_MS.map(stepMs =>
        failover(`two witnesses pause for 4 s, ${stepMs} ms after the deaths`, scene => {
            crashBoth(scene);
            scene.after(stepMs, () => pause(scene, scene.others().slice(0, 2), 4_000));
        })
    ),
    failover("an order to promote runs late", scene => {
        crashBoth(scene);
        scene.after(2_050, () => {
            for (const name of ["db-2", "db-3"]) {
                scene.simulation.instances.get(name)!.pausedUntilMs = scene.simulation.clock.nowMs + 1_300;
            }
        });
    }),
];

const storeFaults: readonly FaultRow[] = [
    untouched("the store is down for a minute", scene => stopStore(scene, 60_000)),
    untouched("the store is slow for long", ({ simulation }) => {
        simulation.store.delayMs = 3_000;
    }),
    failover("the holder dies and answers of the store are lost", scene => {
        scene.simulation.store.lostAnswers = 3;
        crashBoth(scene);
    }),
    failover("the store takes up to 800 ms a call", scene => {
        scene.simulation.store.delayMs = 800;
        crashBoth(scene);
    }),
    {
        name: "the store is down while holder and primary die",
        act: scene => {
            stopStore(scene, 10_000);
            crashBoth(scene);
        },
        limitMs: 10_000 + FAILOVER_LIMIT_MS,
        mayLose: true,
    },
    {
        name: "the store is down while only the holder dies",
        act: scene => {
            stopStore(scene, 10_000);
            scene.simulation.crashVm(scene.holder);
        },
        limitMs: 10_000 + FAILOVER_LIMIT_MS,
        term: 1,
    },
    {
        name: "the store is down at the second promotion",
        act: scene => {
            scene.promote("db-2");
            scene.after(2_500, () => {
                stopStore(scene, 10_000);
                crashPrimaryOfLeader(scene);
            });
        },
        limitMs: 10_000 + FAILOVER_LIMIT_MS,
        mayLose: true,
    },
    {
        name: "a candidate pauses after its majority while the holder comes back",
        act: scene => {
            scene.simulation.isolate([scene.holder.name]);
            stopStore(scene, 6_000);
            scene.after(2_500, () => pause(scene, scene.others(), 3_000));
            scene.after(3_000, () => scene.simulation.heal());
        },
        limitMs: 6_000 + FAILOVER_LIMIT_MS,
        term: 1,
    },
];

const planned: readonly FaultRow[] = [
    { name: "an operator promotes a replica", act: ({ promote }) => promote("db-2"), limitMs: PLANNED_LIMIT_MS, term: 2 },
    { name: "an operator promotes a replica of another region", act: ({ promote }) => promote("db-3"), limitMs: PLANNED_LIMIT_MS, term: 2 },
    {
        name: "the VM of the holder leaves",
        act: ({ simulation, holder }) => simulation.send(holder, { kind: GroupEventKind.LeadershipTransferRequested }),
        limitMs: PLANNED_LIMIT_MS,
        term: 1,
    },
    {
        name: "the VM of the holder leaves during an outage of the store",
        act: scene => {
            stopStore(scene, 20_000);
            scene.after(100, () => scene.simulation.send(scene.holder, { kind: GroupEventKind.LeadershipTransferRequested }));
        },
        limitMs: PLANNED_LIMIT_MS,
        term: 1,
    },
    {
        name: "leadership returns to the failure domain of the primary",
        act: ({ promote }) => promote("db-2"),
        limitMs: PLANNED_LIMIT_MS,
        term: 2,
        holderDomain: "north-b",
    },
    failover("the only replica with the last writes answers late", scene => {
        const ahead = scene.simulation.instances.get("db-3")!;
        scene.simulation.instances.get("db-2")!.lagMs = 60_000;
        scene.after(3_000, () => {
            scene.simulation.crashVm(scene.holder);
            crash(scene.primary);
        });
        scene.after(4_500, () => {
            ahead.pausedUntilMs = scene.simulation.clock.nowMs + 1_000;
        });
    }, { primary: "db-3" }),
];

/** Every trap and failure that the leases must stand, each with the bound of the gap without acknowledged writes. */
export const faultTable: readonly FaultRow[] = [...isolations, ...crashes, ...pauses, ...storeFaults, ...planned];
