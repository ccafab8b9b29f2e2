import type { ReplacementAction, ReplacementEvent, SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { ProbeOutcome } from "@pomeloturn/replace-primary/replacementMessages";
import { createReplacement, type ReplacementState } from "@pomeloturn/replace-primary/ReplacementState";
import { stepReplacement } from "@pomeloturn/replace-primary/stepReplacement";
import type { Authority } from "@pomeloturn/types/Protocols";
import { PromotionOutcome } from "@pomeloturn/types/Protocols";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TICK_MS = 40;
const ROUND_TRIP_MS = 10;
const PROBE_TIMEOUT_MS = 300;
const PROMOTE_MS = 1_000;
const STORE_TIMEOUT_MS = 1_500;
const ORDER_TIMEOUT_MS = 1_000;
const REPLICA_LAG_COMMITS = 3;

/** An instance of the simulated group. */
export interface SimulatedInstance {
    readonly id: string;
    condition: "up" | "refusing" | "dark";
    isDraining: boolean;
    received: number;
    /** Highest term that it was told to step down for. */
    steppedDownFor: number;
    /** VMs that do not reach it. */
    readonly cutFrom: Set<string>;
}

interface Order {
    readonly holder: string;
    readonly fence: number;
    readonly instanceId: string;
    readonly atMs: number;
}

interface SimulatedVm {
    readonly name: string;
    readonly state: ReplacementState;
    leaderId: string | undefined;
    isFrozen: boolean;
    readonly held: (() => void)[];
}

/** VMs that replace the primary of one group, with a store and a platform that orders, in virtual time. */
export class ReplacementSimulation {
    readonly instances: SimulatedInstance[];
    readonly orders: Order[] = [];
    readonly vms: SimulatedVm[];
    readonly promotions: { readonly id: string; readonly atMs: number; readonly lostCommits: number; }[] = [];
    leaderId: string | undefined = "a";
    term = 1;
    isStoreDown = false;
    lostClaimShare = 0;
    lostOrderShare = 0;
    /** Lost orders are carried out this much later. */
    lateOrderMs: number | undefined;
    private row: Authority = { holder: "", fence: 0, version: 0 };
    private highestFence = 0;
    private nowMs = 0;
    private readonly events: { readonly atMs: number; readonly order: number; readonly run: () => void; }[] = [];
    private eventCount = 0;
    private readonly random: () => number;

    constructor(seed: number, vmCount = 4) {
        const generator = xoroshiro128plus(seed);
        this.random = () => uniformFloat64(generator);
        this.instances = ["a", "b", "c"].map(id => ({
            id,
            condition: "up",
            isDraining: false,
            received: 100,
            steppedDownFor: 0,
            cutFrom: new Set<string>(),
        }));
        this.vms = Array.from({ length: vmCount }, (_, index) => ({
            name: `vm-${index}`,
            state: createReplacement(`vm-${index}`, 0),
            leaderId: "a",
            isFrozen: false,
            held: [],
        }));
        this.vms.forEach((vm, index) => this.tickRegularly(vm, index));
    }

    find(id: string): SimulatedInstance {
        return this.instances.find(each => each.id === id)!;
    }

    at(atMs: number, run: () => void): void {
        this.events.push({ atMs, order: this.eventCount++, run });
    }

    run(untilMs: number): void {
        for (;;) {
            this.events.sort((x, y) => x.atMs - y.atMs || x.order - y.order);
            if (this.events.length === 0 || this.events[0]!.atMs > untilMs) {
                return;
            }
            const { atMs, run } = this.events.shift()!;
            this.nowMs = atMs;
            run();
        }
    }

    /** Every VM's requests meet the failing primary. */
    suspectEverywhere(): void {
        this.vms.forEach(vm => this.dispatch(vm, { kind: "suspected", instanceId: vm.leaderId ?? "a" }));
    }

    thaw(name: string): void {
        const vm = this.vms.find(each => each.name === name)!;
        vm.isFrozen = false;
        vm.held.splice(0).forEach(run => run());
    }

    /** The instance that leads and can be reached. */
    get servingLeader(): SimulatedInstance | undefined {
        const leader = this.leaderId === undefined ? undefined : this.find(this.leaderId);
        return leader?.condition === "up" && leader.steppedDownFor <= this.term ? leader : undefined;
    }

    private tickRegularly(vm: SimulatedVm, place: number): void {
        const leader = vm.leaderId === undefined ? undefined : this.find(vm.leaderId);
        const view = {
            leaderId: vm.leaderId,
            isLeaderDraining: leader?.isDraining === true,
            instanceCount: this.instances.length,
            vmIndex: place,
        };
        this.dispatch(vm, { kind: "tick", view });
        this.at(this.nowMs + TICK_MS, () => this.tickRegularly(vm, place));
    }

    private dispatch(vm: SimulatedVm, event: ReplacementEvent): void {
        if (vm.isFrozen) {
            if (event.kind !== "tick") {
                vm.held.push(() => this.dispatch(vm, event));
            }
            return;
        }
        stepReplacement(vm.state, event, this.nowMs).forEach(action => this.carryOut(vm, action));
    }

    private later(vm: SimulatedVm, delayMs: number, event: () => ReplacementEvent): void {
        this.at(this.nowMs + delayMs, () => this.dispatch(vm, event()));
    }

    private carryOut(vm: SimulatedVm, action: ReplacementAction): void {
        type Handlers = { readonly [Kind in ReplacementAction["kind"]]: (action: Extract<ReplacementAction, { kind: Kind; }>) => void; };
        const handlers: Handlers = {
            probe: ({ instanceId }) => this.probe(vm, instanceId),
            claim: ({ known }) => this.claim(vm, known),
            survey: () => this.later(vm, ROUND_TRIP_MS, () => ({ kind: "surveyed", instances: this.survey(vm) })),
            stepDown: ({ instanceId, term }) => {
                this.at(this.nowMs + ROUND_TRIP_MS / 2, () => this.stepDown(instanceId, term));
                this.later(vm, ROUND_TRIP_MS, () => ({ kind: "steppedDown" }));
            },
            order: ({ instanceId, fence }) => this.order(vm, instanceId, fence),
            confirm: ({ instanceId }) => {
                vm.leaderId = instanceId;
            },
            log: () => {},
        };
        (handlers[action.kind] as (action: ReplacementAction) => void)(action);
    }

    private probe(vm: SimulatedVm, instanceId: string): void {
        const { condition, cutFrom } = this.find(instanceId);
        const outcomes = { up: ProbeOutcome.Alive, refusing: ProbeOutcome.Refused, dark: ProbeOutcome.Silent } as const;
        const outcome = cutFrom.has(vm.name) ? ProbeOutcome.Silent : outcomes[condition];
        this.later(vm, outcome === ProbeOutcome.Silent ? PROBE_TIMEOUT_MS : ROUND_TRIP_MS, () => ({ kind: "probed", instanceId, outcome }));
    }

    private claim(vm: SimulatedVm, known: Authority): void {
        if (this.isStoreDown) {
            this.later(vm, STORE_TIMEOUT_MS, () => ({ kind: "claimed", change: undefined }));
            return;
        }
        this.at(this.nowMs + ROUND_TRIP_MS / 2, () => {
            const isApplied = known.version === this.row.version;
            if (isApplied) {
                this.row = { holder: vm.name, fence: known.fence + 1, version: this.row.version + 1 };
                this.vms.forEach(each => this.later(each, ROUND_TRIP_MS, () => ({ kind: "authorityChanged", authority: this.row })));
            }
            const authority = this.row;
            if (this.random() < this.lostClaimShare) {
                this.later(vm, STORE_TIMEOUT_MS, () => ({ kind: "claimed", change: undefined }));
            }
            else {
                this.later(vm, ROUND_TRIP_MS / 2, () => ({ kind: "claimed", change: { isApplied, authority } }));
            }
        });
    }

    private survey(vm: SimulatedVm): SurveyedInstance[] {
        return this.instances.map(({ id, condition, isDraining, received, cutFrom, steppedDownFor }) => ({
            id,
            isDraining,
            state: condition !== "up" || cutFrom.has(vm.name) ? undefined : {
                isPrimary: id === this.leaderId && steppedDownFor <= this.term,
                term: this.term,
                received: { term: this.term, position: received },
            },
        }));
    }

    private stepDown(instanceId: string, term: number): void {
        this.find(instanceId).steppedDownFor = term;
        // The replicas receive what is under way.
        this.at(this.nowMs + TICK_MS, () => this.instances.forEach(each => each.received = this.find(instanceId).received));
    }

    private order(vm: SimulatedVm, instanceId: string, fence: number): void {
        this.orders.push({ holder: vm.name, fence, instanceId, atMs: this.nowMs });
        const isLost = this.random() < this.lostOrderShare;
        if (isLost) {
            if (this.lateOrderMs !== undefined) {
                this.at(this.nowMs + this.lateOrderMs, () => this.execute(instanceId, fence));
            }
            this.later(vm, ORDER_TIMEOUT_MS, () => ({ kind: "ordered", outcome: PromotionOutcome.Unknown }));
            return;
        }
        this.at(this.nowMs + ROUND_TRIP_MS / 2, () => {
            const outcome = this.execute(instanceId, fence);
            this.later(vm, ROUND_TRIP_MS / 2, () => ({ kind: "ordered", outcome }));
        });
    }

    /** The platform carries out an order. */
    private execute(instanceId: string, fence: number): PromotionOutcome {
        const instance = this.find(instanceId);
        if (fence < this.highestFence || instance.condition !== "up") {
            return PromotionOutcome.Refused;
        }
        this.highestFence = fence;
        if (instanceId === this.leaderId && instance.steppedDownFor <= this.term) {
            return PromotionOutcome.Accepted;
        }
        this.at(this.nowMs + PROMOTE_MS, () => {
            const before = this.leaderId === undefined ? undefined : this.find(this.leaderId);
            const lostCommits = before?.condition === "up" ? Math.max(0, before.received - instance.received) : 0;
            this.term++;
            this.leaderId = instanceId;
            this.promotions.push({ id: instanceId, atMs: this.nowMs, lostCommits });
        });
        return PromotionOutcome.Accepted;
    }

    /** Writes go on at the primary; replicas are a few commits behind. */
    writeOn(): void {
        const leader = this.servingLeader;
        if (leader !== undefined) {
            leader.received += 1;
            this.instances.filter(each => each !== leader).forEach(each => each.received = leader.received - REPLICA_LAG_COMMITS);
        }
    }
}
