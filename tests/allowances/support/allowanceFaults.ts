import { chooseSeatHolders } from "@pomeloturn/allowance-link/chooseSeatHolders";
import { hashText } from "@pomeloturn/membership/hash";
import type { AllowanceSimulation, SimulatedTeam } from "./AllowanceSimulation.ts";
import type { SimulatedVm } from "./SimulatedVm.ts";

const MS_PER_S = 1_000;
/** Time between two partitions, in which lost datagrams are repeated. */
const PARTITION_PAUSE_MS = 3_000;
const SEATS = [0, 1, 2, 3];
/** Names that are tried for a VM that has to hold a seat: many more than there are VMs. */
const ADD_ATTEMPTS = 300;
const REGIONS = ["east", "west"];

/** Creates a few large teams and many small ones, with limits of 1.6 times their usual rate. */
export const createTeams = (largeCount: number, smallCount: number): SimulatedTeam[] =>
    Array.from({ length: largeCount + smallCount }, (_value, index) => {
        const usualPerS = index < largeCount ? 110 / (1 + 2 * index) : 1 + index % 3;
        return { name: `team-${index}`, operationsPerS: usualPerS * 1.6, burstOperations: usualPerS * 1.6, demandPerS: usualPerS };
    });

type Injector = (simulation: AllowanceSimulation) => void;

const draw = (simulation: AllowanceSimulation, lowest: number, highest: number): number =>
    lowest + simulation.clock.random() * (highest - lowest);

const listUp = (simulation: AllowanceSimulation): SimulatedVm[] => [...simulation.vms.values()].filter(({ isUp }) => isUp);

const pick = (simulation: AllowanceSimulation): SimulatedVm | undefined => {
    const up = listUp(simulation);
    return up[Math.floor(simulation.clock.random() * up.length)];
};

const killShare = (simulation: AllowanceSimulation, share: number): void => {
    const killed = listUp(simulation).filter(() => simulation.clock.random() < share);
    killed.forEach(vm => {
        vm.kill();
        if (simulation.clock.random() < 0.9) {
            simulation.clock.after(draw(simulation, 500, 6_000), () => simulation.restart(vm.name));
        }
    });
};

/**
 * Cuts datagrams for 5 to 12 s. A cut begins only some time after the last one has ended: without a way between two VMs for
 * more than three times `contactMs`, a former holder cannot learn in time that it holds a seat no more.
 *
 * @returns the duration; undefined when it is too early for another cut
 */
const cut = (simulation: AllowanceSimulation, isCut: (from: string, to: string) => boolean): number | undefined => {
    const { clock, network, nextPartitionAtMs } = simulation;
    if (clock.nowMs < nextPartitionAtMs) {
        return undefined;
    }
    const durationMs = draw(simulation, 5 * MS_PER_S, 12 * MS_PER_S);
    simulation.nextPartitionAtMs = clock.nowMs + durationMs + PARTITION_PAUSE_MS;
    network.cut(durationMs, isCut);
    return durationMs;
};

/** Cuts some VMs off from all others, usually also from the store. */
const partition = (simulation: AllowanceSimulation, names: ReadonlySet<string>): void => {
    const durationMs = cut(simulation, (from, to) => names.has(from) !== names.has(to));
    if (durationMs !== undefined && simulation.clock.random() < 0.7) {
        simulation.vms.forEach(vm => {
            if (names.has(vm.name)) {
                vm.storeCutUntilMs = simulation.clock.nowMs + durationMs;
            }
        });
    }
};

/**
 * Adds a VM whose name makes it the holder of a seat of a team.
 *
 * @returns the holder until then
 */
const addHolder = (simulation: AllowanceSimulation, team: string, seat: number): string | undefined => {
    const members = simulation.listRegistered();
    const region = REGIONS[seat % REGIONS.length]!;
    const findHolder = (extra: readonly string[]): string | undefined =>
        chooseSeatHolders(
            hashText(team),
            [...members, ...extra.map(vm => ({ vm, region }))].map(each => ({ vm: each.vm, region: each.region, hash: hashText(each.vm) })),
        )[seat]?.holder?.vm;
    const former = findHolder([]);
    for (let attempt = 0; attempt < ADD_ATTEMPTS; attempt++) {
        const name = `holder-${simulation.vms.size}-${attempt}`;
        if (findHolder([name]) === name) {
            simulation.addVm(name, region);
            return former;
        }
    }
    return undefined;
};

/** New VMs take over seats of the largest team at nearly the same time; former holders may be cut off. */
const takeSeatsOver = (simulation: AllowanceSimulation): void => {
    const seats = SEATS.filter(() => simulation.clock.random() < 0.5);
    const former = new Set<string>();
    seats.forEach(seat => former.add(addHolder(simulation, "team-0", seat) ?? ""));
    if (simulation.clock.random() < 0.6) {
        const others = listUp(simulation).filter(({ name }) => !name.startsWith("holder") && simulation.clock.random() < 0.3);
        partition(simulation, new Set([...former, ...others.map(({ name }) => name)]));
    }
};

export const injectors = {
    takeSeatsOver,
    partitionOne: simulation => partition(simulation, new Set([pick(simulation)?.name ?? ""])),
    partitionThird: simulation =>
        partition(simulation, new Set(listUp(simulation).filter(() => simulation.clock.random() < 0.35).map(({ name }) => name))),
    silenceOneWay: simulation => {
        const from = pick(simulation)?.name;
        const to = new Set(listUp(simulation).filter(() => simulation.clock.random() < 0.5).map(({ name }) => name));
        cut(simulation, (sender, receiver) => sender === from && to.has(receiver));
    },
    kill: simulation => {
        const vm = pick(simulation);
        vm?.kill();
        simulation.clock.after(draw(simulation, 300, 8_000), () => simulation.restart(vm?.name ?? ""));
    },
    killMost: simulation => killShare(simulation, 0.55),
    killAll: simulation => killShare(simulation, 1),
    stop: simulation => simulation.stop(pick(simulation)?.name ?? "", draw(simulation, 1_000, 4_000)),
    add: simulation => simulation.addVm(`added-${simulation.vms.size}`, REGIONS[Math.floor(simulation.clock.random() * 2)]!),
    replaceSome: simulation => {
        for (let count = 0; count < 4; count++) {
            simulation.clock.after(draw(simulation, 0, 3_000), () => {
                const vm = pick(simulation);
                simulation.stop(vm?.name ?? "", 2_000);
                simulation.addVm(`added-${simulation.vms.size}`, vm?.region ?? "east");
            });
        }
    },
    suspend: simulation => pick(simulation)?.suspend(draw(simulation, 500, 3_500)),
    delayStore: simulation => {
        simulation.vms.forEach(vm => {
            if (simulation.clock.random() < 0.3) {
                vm.storeCutUntilMs = simulation.clock.nowMs + draw(simulation, 1_000, 10_000);
            }
        });
    },
    changeLimits: simulation => simulation.changeSomeLimits(draw(simulation, 0, 5_000)),
    disturbNetwork: simulation => {
        const { faults } = simulation.network;
        Object.assign(faults, { lostShare: draw(simulation, 0, 0.2), duplicatedShare: 0.1, lateShare: draw(simulation, 0, 0.1) });
        simulation.clock.after(
            draw(simulation, 2_000, 8_000),
            () => Object.assign(faults, { lostShare: 0, duplicatedShare: 0, lateShare: 0 }),
        );
    },
} satisfies Readonly<Record<string, Injector>>;

export type FaultKind = keyof typeof injectors;

/** Injects random faults until a time. Calls `onFault` with each. */
export const injectRandomFaults = (
    simulation: AllowanceSimulation,
    kinds: readonly FaultKind[],
    intervalMs: number,
    untilMs: number,
    onFault: (kind: FaultKind, atMs: number) => void,
): void => {
    const injectNext = (): void => {
        if (simulation.clock.nowMs < untilMs) {
            const kind = kinds[Math.floor(simulation.clock.random() * kinds.length)]!;
            onFault(kind, simulation.clock.nowMs);
            injectors[kind](simulation);
            simulation.clock.after(draw(simulation, 0, 2 * intervalMs), injectNext);
        }
    };
    simulation.clock.after(draw(simulation, 0, 2 * intervalMs), injectNext);
};
