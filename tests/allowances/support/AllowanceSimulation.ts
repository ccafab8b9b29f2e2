import type { AllowanceMember } from "@pomeloturn/allowance-link/AllowanceMember";
import type { TeamEntry, TeamTable } from "@pomeloturn/types/Teams";
import { VirtualClock } from "../../leases/support/VirtualClock.ts";
import { AllowanceNetwork } from "./AllowanceNetwork.ts";
import { SimulatedVm } from "./SimulatedVm.ts";
import { type LimitChange, WindowCheck } from "./WindowCheck.ts";

const MS_PER_S = 1_000;
const MAXIMUM_DRIFT = 0.01;
const REGIONS = ["east", "west"];
/** Longest time until a change in the store reaches a VM that reads it, and a process that has started. */
const USUAL_LAG_MS = 700;
/** Share of the teams whose limits a change of the configuration changes: most windows keep the bound of one limit. */
const CHANGED_SHARE = 0.15;
const REGISTRATION_LAG_MS = 500;
const STORE_RETRY_MS = 500;

/** A team whose callers send operations at random times. */
export interface SimulatedTeam {
    readonly name: string;
    readonly operationsPerS: number;
    readonly burstOperations: number;
    /** Rate at which its callers ask. */
    demandPerS: number;
}

export interface TeamResults {
    asked: number;
    granted: number;
    refused: number;
}

/** VMs with their exchanges, a network, the store's list of VMs and configuration, and callers, in virtual time. */
export class AllowanceSimulation {
    readonly clock: VirtualClock;
    readonly network: AllowanceNetwork;
    readonly vms = new Map<string, SimulatedVm>();
    readonly check = new WindowCheck();
    readonly results = new Map<string, TeamResults>();
    /** Longest time after which a change of the list of VMs reaches one. */
    listLagMs = USUAL_LAG_MS;
    configLagMs = USUAL_LAG_MS;
    /** Time from which another partition may begin. */
    nextPartitionAtMs = 0;
    private registered: readonly AllowanceMember[] = [];
    private listVersion = 0;
    private configVersion = 0;
    private table: TeamTable = { teams: new Map(), teamNamesByKey: new Map() };

    /** @param drift chooses the drift of each VM's clock; random if undefined */
    constructor(seed: number, private readonly teams: readonly SimulatedTeam[], private readonly drift?: () => number) {
        this.clock = new VirtualClock(seed);
        this.network = new AllowanceNetwork(
            this.clock,
            vm => this.vms.get(vm)?.region ?? "",
            (from, to, text) => this.vms.get(to)?.receive(text, from),
        );
        teams.forEach(team => this.results.set(team.name, { asked: 0, granted: 0, refused: 0 }));
    }

    /** Starts a number of VMs that all have the same list and configuration. */
    startFleet(count: number): void {
        const names = Array.from({ length: count }, (_value, index) => `vm-${index}`);
        names.forEach((name, index) => this.createVm(name, REGIONS[index % REGIONS.length]!).start());
        this.registered = names.map(vm => ({ vm, version: 1, region: this.vms.get(vm)!.region, address: vm }));
        this.listVersion = 1;
        this.setLimits(this.teams, 0);
        this.vms.forEach(vm => vm.applyList(this.registered, 1));
        this.teams.forEach(team => this.scheduleDemand(team));
    }

    /** Starts a new VM, which registers itself. */
    addVm(name: string, region: string): void {
        this.createVm(name, region).start();
        this.registerAtStart(this.vms.get(name)!);
    }

    /** Starts the process of a VM that was killed. It has lost all state and is still registered. */
    restart(name: string): void {
        const vm = this.vms.get(name);
        if (vm !== undefined && !vm.isUp && this.isRegistered(name)) {
            vm.start();
            this.registerAtStart(vm);
        }
    }

    /** Stops a VM as planned: it grants nothing more, then its registration goes, then its process ends. */
    stop(name: string, durationMs: number): void {
        const vm = this.vms.get(name);
        if (vm?.isUp === true && this.isRegistered(name)) {
            vm.run(exchange => exchange.stop());
            this.clock.after(this.clock.random() * MS_PER_S, () => this.changeList(this.registered.filter(each => each.vm !== name)));
            this.clock.after(durationMs, () => vm.kill());
        }
    }

    listRegistered(): readonly AllowanceMember[] {
        return this.registered;
    }

    isRegistered(name: string): boolean {
        return this.registered.some(({ vm }) => vm === name);
    }

    /** Changes the limits of teams in the configuration. */
    setLimits(entries: readonly TeamEntry[], lagMs = this.configLagMs): void {
        const teams = new Map([...this.table.teams, ...entries.map(entry => [entry.name, entry] as const)]);
        this.table = { teams, teamNamesByKey: new Map() };
        const version = ++this.configVersion;
        const { table } = this;
        this.vms.forEach(vm => this.whenStoreIsRead(vm, lagMs, () => vm.applyTeams(table, version)));
        entries.forEach(entry => this.recordLimitUse(entry, version));
    }

    /** Raises or lowers the limits of some teams. */
    changeSomeLimits(lagMs: number): void {
        const changed = this.teams.filter(() => this.clock.random() < CHANGED_SHARE).map(team => {
            const factor = 10 ** (this.clock.random() * 2 - 1);
            return { ...team, operationsPerS: team.operationsPerS * factor, burstOperations: team.burstOperations * factor };
        });
        this.setLimits(changed, lagMs);
    }

    async run(untilMs: number): Promise<void> {
        await this.clock.runSettledUntil(untilMs);
    }

    private createVm(name: string, region: string): SimulatedVm {
        const drift = this.drift?.() ?? (2 * this.clock.random() - 1) * MAXIMUM_DRIFT;
        const vm = new SimulatedVm(name, region, drift, {
            clock: this.clock,
            send: (from, to, text) => this.network.send(from, to, text),
            onEvent: (event, team) => {
                if (event === "seatGranted") {
                    this.check.recordGrant(team, this.clock.nowMs, name);
                }
            },
        });
        this.vms.set(name, vm);
        return vm;
    }

    private changeList(members: readonly AllowanceMember[]): void {
        this.registered = members;
        const version = ++this.listVersion;
        this.vms.forEach(vm => this.whenStoreIsRead(vm, this.listLagMs, () => vm.applyList(members, version)));
    }

    /** The process writes its registration, also if there is one, and reads the list before or after that. */
    private registerAtStart(vm: SimulatedVm): void {
        const { name, region } = vm;
        this.whenStoreIsRead(vm, REGISTRATION_LAG_MS, () => {
            const others = this.registered.filter(each => each.vm !== name);
            this.changeList([...others, { vm: name, region, address: name, version: this.listVersion + 1 }]);
        });
        this.readStoreAtStart(vm);
    }

    private readStoreAtStart(vm: SimulatedVm): void {
        this.whenStoreIsRead(vm, USUAL_LAG_MS, () => vm.applyList(this.registered, this.listVersion));
        this.whenStoreIsRead(vm, USUAL_LAG_MS, () => vm.applyTeams(this.table, this.configVersion));
    }

    private whenStoreIsRead(vm: SimulatedVm, lagMs: number, read: () => void): void {
        const process = vm.processCount;
        this.clock.after(this.clock.random() * lagMs, () => {
            if (process !== vm.processCount) {
                return;
            }
            if (this.clock.nowMs < vm.storeCutUntilMs) {
                this.clock.at(vm.storeCutUntilMs, () => this.whenStoreIsRead(vm, STORE_RETRY_MS, read));
            }
            else {
                read();
            }
        });
    }

    /** A limit counts until all processes that run have a later configuration. */
    private recordLimitUse(entry: TeamEntry, version: number): void {
        const change: LimitChange = { entry, sinceMs: this.clock.nowMs, untilMs: Infinity };
        this.check.addLimit(change);
        if (version === 1) {
            return;
        }
        const watch = (): void => {
            if ([...this.vms.values()].every(vm => !vm.isUp || vm.configVersion === 0 || vm.configVersion >= version)) {
                this.check.endLimitsBefore(change, this.clock.nowMs);
            }
            else {
                this.clock.after(STORE_RETRY_MS / 10, watch);
            }
        };
        watch();
    }

    private scheduleDemand(team: SimulatedTeam): void {
        const meanMs = MS_PER_S / Math.max(team.demandPerS, 0.01);
        this.clock.after(-Math.log(1 - this.clock.random()) * meanMs, () => {
            this.ask(team.name);
            this.scheduleDemand(team);
        });
    }

    private ask(team: string): void {
        const up = [...this.vms.values()].filter(vm => vm.isUp && vm.listVersion > 0);
        const vm = up[Math.floor(this.clock.random() * up.length)];
        const result = this.results.get(team)!;
        result.asked++;
        vm?.run(exchange =>
            void exchange.take(team).then(({ isGranted }) => {
                result[isGranted ? "granted" : "refused"]++;
            })
        );
    }
}
