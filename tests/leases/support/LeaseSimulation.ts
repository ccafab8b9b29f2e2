import { groupRowKey } from "@pomeloturn/group-lease/GroupRow";
import { parseGroupRow } from "@pomeloturn/group-lease/groupRowCodec";
import { ALL_GUARDS, type LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import type { GroupAction } from "@pomeloturn/promote-primary/GroupAction";
import { type GroupEvent, GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import { TICK_INTERVAL_MS } from "@pomeloturn/promote-primary/promotionTiming";
import type { GroupLeadership, InstanceProbe } from "@pomeloturn/types/Leadership";
import type { TableResult } from "@pomeloturn/types/Platform";
import { FakeInstance, type LogEntry } from "./FakeInstance.ts";
import { FakeStore } from "./FakeStore.ts";
import { FakeVm } from "./FakeVm.ts";
import { LeadershipCheck } from "./LeadershipCheck.ts";
import { DOMAINS, oneWayLatencyMs, STORE } from "./topology.ts";
import { VirtualClock } from "./VirtualClock.ts";

const CALL_TIMEOUT_MS = 1_000;
const PROMOTION_DURATION_MS = 50;
const VM_COUNT = 6;
const MEMBERSHIP_TIMEOUT_MS = 3_000;

export const ROW_KEY = groupRowKey("ledger-1");

type ActionHandler<Action> = (vm: FakeVm, action: Action) => void;

interface SimulationOptions {
    readonly seed: number;
    readonly guards?: Partial<LeaseGuards>;
    /** Returns the clock rate of the VM with an index; random within the margin when absent. */
    readonly clockRate?: (index: number) => number;
    /** Share of the messages between VMs that are lost, and share of the others that arrive twice. */
    readonly lossRate?: number;
}

/** Simulates a group, its VMs, its instances and the store in virtual time. The leadership check runs after every step. */
export class LeaseSimulation {
    readonly clock: VirtualClock;
    readonly store = new FakeStore();
    readonly vms = new Map<string, FakeVm>();
    readonly instances = new Map<string, FakeInstance>();
    readonly check: LeadershipCheck;
    readonly promotionCodes: number[] = [];
    lossRate: number;
    /** Upper bound of the random delay that is added to messages between VMs. */
    maximumMessageDelayMs = 0;
    private readonly partitionedPaths = new Set<string>();
    private nextEntryId = 1;

    constructor(options: SimulationOptions) {
        this.clock = new VirtualClock(options.seed);
        this.lossRate = options.lossRate ?? 0;
        const domains = Object.fromEntries(DOMAINS.map((domain, index) => [`db-${index + 1}`, domain]));
        for (const [name, domain] of Object.entries(domains)) {
            this.instances.set(name, new FakeInstance(name, domain, name !== "db-1", name === "db-1" ? "" : "db-1"));
        }
        this.check = new LeadershipCheck(this.instances);
        for (let index = 0; index < VM_COUNT; index++) {
            const randomRate = 1 + (this.clock.random() - 0.5) * 0.018;
            const clockRate = options.clockRate?.(index) ?? randomRate;
            const guards = { ...ALL_GUARDS, ...options.guards };
            const vm = new FakeVm(`vm-${index + 1}`, DOMAINS[index % 3]!, clockRate, this.clock.random() * 1e6, domains, guards);
            this.vms.set(vm.name, vm);
            this.clock.after(this.clock.random() * TICK_INTERVAL_MS, () => this.tick(vm));
        }
        this.updateMembership();
        this.clock.every(200, () => this.updateMembership());
        this.clock.every(10, () => this.replicate());
        this.clock.every(20, () => this.vms.forEach(vm => this.writeAtPrimary(vm)));
    }

    run(durationMs: number): this {
        this.clock.runUntil(this.clock.nowMs + durationMs);
        return this;
    }

    /** Drops all traffic between two sets of nodes, or only from the first to the second. A node is a VM, an instance or the store. */
    partition(from: readonly string[], to: readonly string[], isOneWay = false): void {
        const pairs = from.flatMap(source =>
            to.flatMap(target => isOneWay ? [`${source}>${target}`] : [`${source}>${target}`, `${target}>${source}`])
        );
        pairs.forEach(pair => this.partitionedPaths.add(pair));
    }

    heal(): void {
        this.partitionedPaths.clear();
    }

    /** Returns the names of the VMs and instances in the failure domains. */
    nodesInDomains(domains: readonly string[]): string[] {
        return [...this.vms.values(), ...this.instances.values()].filter(({ failureDomain }) => domains.includes(failureDomain))
            .map(({ name }) => name);
    }

    allNodes(): string[] {
        return [...this.vms.keys(), ...this.instances.keys(), STORE];
    }

    isolate(nodes: readonly string[]): void {
        this.partition(nodes, this.allNodes().filter(node => !nodes.includes(node)));
    }

    crashVm(vm: FakeVm): void {
        vm.isDown = true;
        vm.proxyLeadership = undefined;
    }

    startVm(vm: FakeVm): void {
        if (vm.isDown) {
            vm.isDown = false;
            vm.restartController(this.clock.nowMs);
        }
    }

    leader(): FakeVm | undefined {
        return [...this.vms.values()].find(vm => vm.isLeading(this.clock.nowMs));
    }

    send(vm: FakeVm, event: GroupEvent): void {
        this.deliver(vm, vm.incarnation, event);
    }

    private latencyMs(from: string, to: string): number {
        const domainOf = (node: string): string => (this.vms.get(node) ?? this.instances.get(node))?.failureDomain ?? STORE;
        return oneWayLatencyMs(domainOf(from), domainOf(to)) * (1 + this.clock.random());
    }

    private isPartitioned(from: string, to: string): boolean {
        return this.partitionedPaths.has(`${from}>${to}`);
    }

    private tick(vm: FakeVm): void {
        this.clock.after(TICK_INTERVAL_MS, () => this.tick(vm));
        if (this.clock.nowMs >= vm.pausedUntilMs) {
            this.deliver(vm, vm.incarnation, { kind: GroupEventKind.Tick });
        }
    }

    /** Passes an event to a VM. A paused VM handles it when it resumes; a crashed or restarted one never does. */
    private deliver(vm: FakeVm, incarnation: number, event: GroupEvent): void {
        if (vm.isDown || vm.incarnation !== incarnation) {
            return;
        }
        if (this.clock.nowMs < vm.pausedUntilMs) {
            this.clock.at(vm.pausedUntilMs, () => this.deliver(vm, incarnation, event));
            return;
        }
        const actions = vm.step(event, this.clock.nowMs);
        this.checkLeaders();
        actions.forEach(action => this.executeAction(vm, action));
    }

    private checkLeaders(): void {
        this.check.checkLeaders(this.leaders(), this.clock.nowMs);
    }

    private leaders(): [string, GroupLeadership][] {
        const leaders: [string, GroupLeadership][] = [];
        for (const vm of this.vms.values()) {
            if (vm.isLeading(this.clock.nowMs)) {
                leaders.push([vm.name, vm.proxyLeadership!]);
            }
        }
        return leaders;
    }

    private executeAction(vm: FakeVm, action: GroupAction): void {
        (this.handlers[action.kind] as ActionHandler<GroupAction> | undefined)?.(vm, action);
    }

    private readonly handlers: { readonly [Kind in GroupAction["kind"]]?: ActionHandler<Extract<GroupAction, { readonly kind: Kind; }>>; } =
        {
            send: (vm, { vm: to, message }) => this.transmitMessage(vm, to, message),
            readRow: vm => this.callStore(vm, () => this.store.read(ROW_KEY), row => ({ kind: GroupEventKind.RowRead, row })),
            writeRow: (vm, { operationId, expectedVersion, expectedEra, value }) => {
                this.check.checkRowChange(this.leaders(), expectedVersion, parseGroupRow(value)!, this.clock.nowMs);
                const write = { key: ROW_KEY, expectedVersion, expectedEra, value };
                const toEvent = (result: TableResult | undefined): GroupEvent => ({ kind: GroupEventKind.RowWritten, operationId, result });
                this.callStore(vm, () => this.store.transact(operationId, write, this.clock.nowMs), toEvent);
            },
            probe: (vm, { instance }) => this.probe(vm, instance, GroupEventKind.Probed),
            freeze: (vm, { instance }) => this.probe(vm, instance, GroupEventKind.Frozen),
            follow: (vm, { instance, upstream }) => this.callInstance(vm, instance, target => target.follow(upstream), () => undefined),
            promote: (vm, { instance }) => {
                const run = (target: FakeInstance): void => this.clock.after(PROMOTION_DURATION_MS, () => target.promote());
                this.callInstance(vm, instance, run, () => ({ kind: GroupEventKind.Promoted, instance }));
            },
            finishPromotion: (_vm, { code }) => this.promotionCodes.push(code),
        };

    private probe(vm: FakeVm, instance: string, kind: typeof GroupEventKind.Probed | typeof GroupEventKind.Frozen): void {
        const sentAtMs = vm.localMs(this.clock.nowMs);
        const run = (target: FakeInstance): InstanceProbe => {
            if (kind === GroupEventKind.Frozen) {
                target.follow("");
            }
            return target.probe();
        };
        this.callInstance(vm, instance, run, probe => ({ kind, instance, sentAtMs, probe }));
    }

    private transmitMessage(from: FakeVm, to: string, message: Extract<GroupAction, { kind: "send"; }>["message"]): void {
        const target = this.vms.get(to)!;
        const sender = { vm: from.name, incarnation: from.incarnation };
        const copyCount = this.clock.random() < this.lossRate ? 0 : this.clock.random() < this.lossRate ? 2 : 1;
        for (let copy = 0; copy < (from.name === to ? 1 : copyCount); copy++) {
            const delayMs = from.name === to ? 0 : this.latencyMs(from.name, to) + this.clock.random() * this.maximumMessageDelayMs;
            this.clock.after(delayMs, () => {
                if (!this.isPartitioned(from.name, to)) {
                    this.deliver(target, target.incarnation, { kind: GroupEventKind.Message, from: sender, message });
                }
            });
        }
    }

    /** Calls a node and invokes `onResult` once: with the result, or with undefined after a failure or `CALL_TIMEOUT_MS`. */
    private call<Result>(
        vm: FakeVm,
        node: string,
        delayMs: number,
        run: () => Result | undefined,
        onResult: (result?: Result) => void,
    ): void {
        let isFinished = false;
        const finish = (result?: Result): void => {
            if (!isFinished) {
                isFinished = true;
                onResult(result);
            }
        };
        this.clock.after(CALL_TIMEOUT_MS, () => finish());
        this.clock.after(this.latencyMs(vm.name, node) + this.clock.random() * delayMs, () => {
            const result = this.isPartitioned(vm.name, node) ? undefined : run();
            if (result !== undefined && !this.isPartitioned(node, vm.name)) {
                this.clock.after(this.latencyMs(node, vm.name), () => finish(result));
            }
        });
    }

    private callStore<Result>(vm: FakeVm, run: () => Result, toEvent: (result: Result | undefined) => GroupEvent): void {
        const { incarnation } = vm;
        const runWithStoreFaults = (): Result | undefined => {
            if (this.store.isDown) {
                return undefined;
            }
            const writeCountBefore = this.store.writeCount;
            const result = run();
            if (this.store.writeCount > writeCountBefore && this.store.lostReplyCount > 0) {
                this.store.lostReplyCount--;
                return undefined;
            }
            return result;
        };
        this.call(vm, STORE, this.store.maximumDelayMs, runWithStoreFaults, result => this.deliver(vm, incarnation, toEvent(result)));
    }

    private callInstance<Result>(
        vm: FakeVm,
        name: string,
        run: (instance: FakeInstance) => Result,
        toEvent: (result: Result | undefined) => GroupEvent | undefined,
    ): void {
        const { incarnation } = vm;
        const instance = this.instances.get(name)!;
        const onResult = (result: Result | undefined): void => {
            const event = toEvent(result);
            if (event !== undefined) {
                this.deliver(vm, incarnation, event);
            }
        };
        const pauseMs = Math.max(0, instance.pausedUntilMs - this.clock.nowMs);
        this.call(vm, name, pauseMs, () => (instance.isDown ? undefined : run(instance)), onResult);
    }

    /** Writes once if the VM's lease is valid. The write is acknowledged only if the lease is valid under the same term when the reply arrives. */
    private writeAtPrimary(vm: FakeVm): void {
        const { nowMs } = this.clock;
        const leadershipAtSend = vm.proxyLeadership;
        if (!vm.isLeading(nowMs) || nowMs < vm.pausedUntilMs) {
            return;
        }
        const instance = this.instances.get(leadershipAtSend!.primary)!;
        const commit = (): { entry: LogEntry; position: number; } | undefined => {
            if (instance.isDown || instance.isReplica || this.clock.nowMs < instance.pausedUntilMs) {
                return undefined;
            }
            const entry = { id: this.nextEntryId++, committedAtMs: this.clock.nowMs };
            return { entry, position: instance.log.push(entry) };
        };
        this.call(vm, instance.name, 0, commit, result => this.acknowledgeWrite(vm, leadershipAtSend!.term, result));
    }

    private acknowledgeWrite(vm: FakeVm, term: number, result: { entry: LogEntry; position: number; } | undefined): void {
        if (result === undefined || vm.isDown) {
            return;
        }
        if (this.clock.nowMs < vm.pausedUntilMs) {
            this.clock.at(vm.pausedUntilMs, () => this.acknowledgeWrite(vm, term, result));
            return;
        }
        if (vm.isLeading(this.clock.nowMs) && vm.proxyLeadership!.term === term) {
            this.check.recordAcknowledgement(vm.name, vm.proxyLeadership!, result.position, result.entry, this.clock.nowMs);
        }
    }

    private replicate(): void {
        for (const instance of this.instances.values()) {
            const upstream = this.instances.get(instance.upstream);
            const isStopped = instance.isDown || this.clock.nowMs < instance.pausedUntilMs;
            if (instance.isReplica && !isStopped && upstream?.isDown === false && !this.isPartitioned(upstream.name, instance.name)) {
                instance.replicate(upstream, this.clock.nowMs);
            }
        }
    }

    private updateMembership(): void {
        for (const observer of this.vms.values()) {
            this.updateMembershipOf(observer);
        }
    }

    private updateMembershipOf(observer: FakeVm): void {
        const { nowMs } = this.clock;
        for (const other of this.vms.values()) {
            const isAlive = !other.isDown && nowMs >= other.pausedUntilMs && !this.isPartitioned(other.name, observer.name);
            if (isAlive) {
                const { name, incarnation, failureDomain } = other;
                observer.lastSeenVms.set(name, { vm: { vm: name, incarnation, failureDomain, isLeaving: false }, atMs: nowMs });
            }
        }
        observer.vms = [...observer.lastSeenVms.values()].filter(({ atMs }) => nowMs - atMs < MEMBERSHIP_TIMEOUT_MS).map(({ vm }) => vm);
    }
}
