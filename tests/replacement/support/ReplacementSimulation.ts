import { createUnheldAuthority } from "@pomeloturn/replace-primary/createUnheldAuthority";
import type { ReplacementAction, ReplacementEvent, SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { ProbeOutcome } from "@pomeloturn/replace-primary/replacementMessages";
import { stepReplacement } from "@pomeloturn/replace-primary/stepReplacement";
import type { Authority } from "@pomeloturn/types/Protocols";
import { PromotionOutcome } from "@pomeloturn/types/Protocols";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { EventQueue } from "./EventQueue.ts";
import { findSharedFences, findStaleOrders, findUnsafeFences, type SimulatedOrder } from "./orderChecks.ts";
import { type SimulatedInstance, SimulatedLog } from "./SimulatedLog.ts";
import { createSimulatedVm, type SimulatedVm } from "./SimulatedVm.ts";
import { surveySimulated } from "./surveySimulated.ts";

const TICK_MS = 40;
const ROUND_TRIP_MS = 10;
const PROBE_TIMEOUT_MS = 300;
const PROMOTION_DURATION_MS = 1_000;
const STORE_TIMEOUT_MS = 600;
const ORDER_TIMEOUT_MS = 1_000;

/** Simulates VMs that replace the primary of one group, with a store and a platform that executes promotion orders, in virtual time. */
export class ReplacementSimulation {
    readonly instances: SimulatedInstance[];
    readonly orders: SimulatedOrder[] = [];
    readonly vms: SimulatedVm[];
    readonly promotions: { readonly id: string; readonly atMs: number; readonly lostCommits: number; }[] = [];
    leaderId: string | undefined = "a";
    term = 1;
    isStoreDown = false;
    lostClaimShare = 0;
    lostOrderShare = 0;
    /** Delay after which lost orders are executed; undefined where they never are. */
    lateOrderDelayMs: number | undefined;
    private readonly log: SimulatedLog;
    private row = createUnheldAuthority(1);
    private highestFence = 0;
    private readonly events = EventQueue.create();
    private readonly random: () => number;

    /** @param syncReplicas number of replicas that have to receive a commit before it is acknowledged */
    constructor(
        seed: number,
        vmCount = 4,
        private readonly syncReplicas = 0,
        instanceIds: readonly string[] = ["a", "b", "c"],
        private readonly areFencesChecked = true,
    ) {
        const generator = xoroshiro128plus(seed);
        this.random = () => uniformFloat64(generator);
        this.instances = instanceIds.map(id => ({
            id,
            condition: "up",
            isDraining: false,
            receivedCommitCount: 100,
            isCutFromPrimary: false,
            isListed: true,
            heldTerm: 0,
            stepDownTerm: 0,
            unreachableVms: new Set<string>(),
        }));
        this.log = new SimulatedLog(this.instances, syncReplicas, this.random);
        this.vms = Array.from({ length: vmCount }, (_, index) => createSimulatedVm(index, areFencesChecked, syncReplicas, 0));
        this.vms.forEach(vm => {
            this.followListing(vm);
            vm.listing.count(this.survey(vm, undefined), this.nowMs);
            this.scheduleTicks(vm);
        });
    }

    private get nowMs(): number {
        return this.events.nowMs;
    }

    findInstance(id: string): SimulatedInstance {
        return this.instances.find(each => each.id === id)!;
    }

    at(atMs: number, run: () => void): void {
        this.events.add(atMs, run);
    }

    run(untilMs: number): void {
        this.events.run(untilMs);
    }

    /** Lets every VM suspect the primary, as after failed requests. */
    reportSuspicions(): void {
        this.vms.forEach(vm => this.dispatch(vm, { kind: "suspected", instanceId: vm.listing.leaderId ?? "a" }));
    }

    /** Ends the process of a VM. */
    killVm(index: number): void {
        this.vms[index]!.hasEnded = true;
    }

    /** Starts the process of a VM that has ended. It knows nothing of before. */
    startVm(index: number): void {
        this.vms[index] = createSimulatedVm(index, this.areFencesChecked, this.syncReplicas, this.nowMs);
        this.scheduleTicks(this.vms[index]);
    }

    resumeVm(name: string): void {
        const vm = this.vms.find(each => each.name === name)!;
        vm.isSuspended = false;
        vm.pendingEvents.splice(0).forEach(run => run());
    }

    /** The instance that leads, is up and has not stepped down; undefined without one. */
    get servingLeader(): SimulatedInstance | undefined {
        const leader = this.leaderId === undefined ? undefined : this.findInstance(this.leaderId);
        return leader?.condition === "up" && leader.stepDownTerm <= this.term ? leader : undefined;
    }

    private scheduleTicks(vm: SimulatedVm): void {
        if (vm.hasEnded) {
            return;
        }
        this.followListing(vm);
        const { leaderId, ids, isComplete } = vm.listing;
        const leader = leaderId === undefined ? undefined : this.findInstance(leaderId);
        const view = {
            leaderId,
            isLeaderDraining: leader?.isDraining === true,
            instanceCount: ids.length,
            syncReplicas: this.syncReplicas,
            isListingComplete: isComplete,
            vmIndex: vm.index,
        };
        this.dispatch(vm, { kind: "tick", view });
        this.at(this.nowMs + TICK_MS, () => this.scheduleTicks(vm));
    }

    private followListing(vm: SimulatedVm): void {
        const isReadable = !this.isStoreDown && !vm.isCutOff && !vm.isSuspended;
        const listed = this.instances.filter(({ isListed }) => isListed).map(({ id }) => id);
        vm.listing.follow(isReadable ? listed : undefined, this.servingLeader?.id, this.nowMs);
        if (isReadable && !vm.hasReadAuthority) {
            vm.hasReadAuthority = true;
            this.dispatch(vm, { kind: "authorityChanged", authority: this.row });
        }
    }

    private dispatch(vm: SimulatedVm, event: ReplacementEvent): void {
        if (vm.hasEnded) {
            return;
        }
        if (vm.isSuspended) {
            if (event.kind !== "tick") {
                vm.pendingEvents.push(() => this.dispatch(vm, event));
            }
            return;
        }
        stepReplacement(vm.state, event, this.nowMs).forEach(action => this.executeAction(vm, action));
    }

    private dispatchLater(vm: SimulatedVm, delayMs: number, event: () => ReplacementEvent): void {
        this.at(this.nowMs + delayMs, () => this.dispatch(vm, event()));
    }

    private executeAction(vm: SimulatedVm, action: ReplacementAction): void {
        type Handlers = { readonly [Kind in ReplacementAction["kind"]]: (action: Extract<ReplacementAction, { kind: Kind; }>) => void; };
        const handlers: Handlers = {
            probe: ({ instanceId }) => this.probe(vm, instanceId),
            claim: ({ known, fence }) => this.claim(vm, known, fence),
            survey: ({ pauseTerm }) =>
                this.at(this.nowMs + ROUND_TRIP_MS / 2, () => {
                    const instances = this.survey(vm, pauseTerm);
                    this.dispatchLater(vm, ROUND_TRIP_MS / 2, () => ({ kind: "surveyed", instances }));
                }),
            resume: ({ instanceIds }) =>
                this.at(this.nowMs + ROUND_TRIP_MS / 2, () => instanceIds.forEach(id => this.findInstance(id).heldTerm = 0)),
            stepDown: ({ instanceId, term }) => {
                this.at(this.nowMs + ROUND_TRIP_MS / 2, () => this.stepDown(instanceId, term));
                this.dispatchLater(vm, ROUND_TRIP_MS, () => ({ kind: "steppedDown" }));
            },
            order: ({ instanceId, fence }) => this.order(vm, instanceId, fence),
            confirm: ({ instanceId }) => {
                vm.listing.leaderId = instanceId;
            },
            log: () => {},
        };
        (handlers[action.kind] as (action: ReplacementAction) => void)(action);
    }

    private probe(vm: SimulatedVm, instanceId: string): void {
        const { condition, unreachableVms } = this.findInstance(instanceId);
        const outcomes = { up: ProbeOutcome.Alive, refusing: ProbeOutcome.Refused, unresponsive: ProbeOutcome.Silent } as const;
        const outcome = unreachableVms.has(vm.name) ? ProbeOutcome.Silent : outcomes[condition];
        this.dispatchLater(
            vm,
            outcome === ProbeOutcome.Silent ? PROBE_TIMEOUT_MS : ROUND_TRIP_MS,
            () => ({ kind: "probed", instanceId, outcome }),
        );
    }

    private claim(vm: SimulatedVm, known: Authority, fence: number): void {
        if (this.isStoreDown || vm.isCutOff) {
            this.dispatchLater(vm, STORE_TIMEOUT_MS, () => ({ kind: "claimed", change: undefined, isListingCurrent: false }));
            return;
        }
        this.at(this.nowMs + ROUND_TRIP_MS / 2, () => {
            const isApplied = known.era === this.row.era && known.version === this.row.version;
            if (isApplied) {
                this.row = { ...known, holder: vm.name, fence, version: known.version + 1 };
                this.vms.filter(({ isCutOff }) => !isCutOff).forEach(each =>
                    this.dispatchLater(each, ROUND_TRIP_MS, () => ({ kind: "authorityChanged", authority: this.row }))
                );
            }
            const authority = this.row;
            if (this.random() < this.lostClaimShare) {
                this.dispatchLater(vm, STORE_TIMEOUT_MS, () => ({ kind: "claimed", change: undefined, isListingCurrent: false }));
            }
            else {
                this.dispatchLater(
                    vm,
                    ROUND_TRIP_MS / 2,
                    () => ({ kind: "claimed", change: { isApplied, authority }, isListingCurrent: true }),
                );
            }
        });
    }

    /** Lets a VM reach the store again and read the authority from it. */
    reconnectVm(name: string): void {
        const vm = this.vms.find(each => each.name === name)!;
        vm.isCutOff = false;
        this.dispatchLater(vm, ROUND_TRIP_MS, () => ({ kind: "authorityChanged", authority: this.row }));
    }

    /** Orders with a fence that is lower than that of an earlier order, or the same as in one of another VM. */
    get staleOrders(): readonly SimulatedOrder[] {
        return findStaleOrders(this.orders);
    }

    /** Restores the store from a copy that lacks all claims. @param findOutMs time after which a VM finds out, in milliseconds */
    restoreStore(findOutMs: (vmIndex: number) => number = () => ROUND_TRIP_MS): void {
        this.row = createUnheldAuthority(this.row.era + 1);
        const authority = this.row;
        this.vms.forEach((each, index) => this.dispatchLater(each, findOutMs(index), () => ({ kind: "authorityChanged", authority })));
    }

    /** Fences under which more than one VM ordered, or more than one instance was to be promoted. */
    get sharedFences(): readonly number[] {
        return findSharedFences(this.orders);
    }

    /** Fences under which more than one VM ordered, or a lost order could undo the promotion of another instance. */
    get unsafeFences(): readonly number[] {
        return findUnsafeFences(this.orders);
    }

    private survey(vm: SimulatedVm, pauseTerm: number | undefined): SurveyedInstance[] {
        const group = { leaderId: this.leaderId, term: this.term };
        const surveyed = vm.listing.ids.map(id => surveySimulated(this.findInstance(id), group, vm.name, pauseTerm));
        return vm.listing.count(surveyed, this.nowMs);
    }

    private stepDown(instanceId: string, term: number): void {
        const instance = this.findInstance(instanceId);
        instance.stepDownTerm = term;
        // The instance reports that it is no primary any more.
        this.at(
            this.nowMs + TICK_MS,
            () =>
                this.vms.filter(({ listing }) => listing.leaderId === instanceId && instance.stepDownTerm > this.term).forEach(vm =>
                    vm.listing.leaderId = undefined
                ),
        );
        // The replicas receive the commits that are still in flight.
        this.at(
            this.nowMs + TICK_MS,
            () => this.log.deliver(instance, this.term),
        );
    }

    private order(vm: SimulatedVm, instanceId: string, fence: number): void {
        const isLost = this.random() < this.lostOrderShare;
        this.orders.push({ holder: vm.name, fence, instanceId, atMs: this.nowMs, isLost });
        if (isLost) {
            if (this.lateOrderDelayMs !== undefined) {
                this.at(this.nowMs + this.lateOrderDelayMs, () => this.executeOrder(instanceId, fence));
            }
            this.dispatchLater(vm, ORDER_TIMEOUT_MS, () => ({ kind: "ordered", outcome: PromotionOutcome.Unknown }));
            return;
        }
        this.at(this.nowMs + ROUND_TRIP_MS / 2, () => {
            const outcome = this.executeOrder(instanceId, fence);
            this.dispatchLater(vm, ROUND_TRIP_MS / 2, () => ({ kind: "ordered", outcome }));
        });
    }

    /** Executes a promotion order as the platform does: orders with a fence below the highest one are refused. */
    private executeOrder(instanceId: string, fence: number): PromotionOutcome {
        const instance = this.findInstance(instanceId);
        if ((this.areFencesChecked && fence < this.highestFence) || instance.condition !== "up") {
            return PromotionOutcome.Refused;
        }
        this.highestFence = Math.max(this.highestFence, fence);
        if (instanceId === this.leaderId && instance.stepDownTerm <= this.term) {
            return PromotionOutcome.Accepted;
        }
        this.at(this.nowMs + PROMOTION_DURATION_MS, () => {
            const oldLeader = this.leaderId === undefined ? undefined : this.findInstance(this.leaderId);
            const lostCommits = oldLeader?.condition === "up"
                ? Math.max(0, oldLeader.receivedCommitCount - instance.receivedCommitCount)
                : 0;
            if (this.syncReplicas > 0) {
                this.log.truncateTo(instance);
            }
            this.term++;
            this.leaderId = instanceId;
            this.promotions.push({ id: instanceId, atMs: this.nowMs, lostCommits });
        });
        return PromotionOutcome.Accepted;
    }

    /** Commits a write at the primary. */
    commitWrite(): void {
        const leader = this.servingLeader;
        if (leader !== undefined) {
            this.log.commit(leader, this.term);
        }
    }

    /** Commits that were acknowledged where replicas have to receive them first, and that a promotion has lost. */
    get lostAcknowledgedCount(): number {
        return this.log.lostAcknowledgedCount;
    }
}
