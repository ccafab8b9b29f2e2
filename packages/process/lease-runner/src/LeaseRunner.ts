import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { ALL_GUARDS } from "@pomeloturn/group-lease/LeaseGuards";
import { type GroupEvent, GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import { createGroup, type GroupState, isHolder, type Step } from "@pomeloturn/promote-primary/GroupState";
import { TICK_INTERVAL_MS } from "@pomeloturn/promote-primary/promotionTiming";
import { readLeadership } from "@pomeloturn/promote-primary/readLeadership";
import { stepGroup } from "@pomeloturn/promote-primary/stepGroup";
import type { ControllerVm, GroupLeadership, LeaseService, LeaseServiceOptions } from "@pomeloturn/types/Leadership";
import { type ActorSystemRef, dispatch, type Ref, spawnStateless, start, stop } from "nact";
import { ActionRunner, type GroupEventEnvelope } from "./ActionRunner.ts";
import { decodeLeaseBatch } from "./leaseBatch.ts";

/** Time for which a shutdown waits for other VMs to take over the leadership. */
const RELEASE_TIMEOUT_MS = 10_000;
const RELEASE_POLL_INTERVAL_MS = 20;

/** Runs the leases of all groups on one VM: one actor applies the events in order and executes the resulting actions. */
export class LeaseRunner implements LeaseService {
    private readonly groups = new Map<string, GroupState>();
    /** Groups that have been removed from the configuration. Kept because the promises of their witness must still hold if they return. */
    private readonly removedGroups = new Map<string, GroupState>();
    /** Callbacks for the result code of each requested promotion, by group. */
    private readonly pendingPromotions = new Map<string, (code: number) => void>();
    private readonly startedAtMs: number;
    private readonly system: ActorSystemRef = start();
    private readonly mailbox: Ref<readonly GroupEventEnvelope[]>;
    private readonly actions: ActionRunner;
    private timer: NodeJS.Timeout;
    private vms: readonly ControllerVm[] = [];

    private constructor(private readonly options: LeaseServiceOptions) {
        this.startedAtMs = options.nowMs();
        this.mailbox = spawnStateless(this.system, (envelopes: readonly GroupEventEnvelope[]) => this.step(envelopes), "leases");
        this.actions = ActionRunner.create(options, {
            onEvents: envelopes => this.dispatch(envelopes),
            onChanged: group => this.reportChange(group),
            onPromotionFinished: (group, code) => this.finishPromotion(group, code),
        });
        this.timer = setTimeout(() => this.startTicking(), options.random() * TICK_INTERVAL_MS);
    }

    static create(options: LeaseServiceOptions): LeaseRunner {
        return new LeaseRunner(options);
    }

    setGroups(groups: Readonly<Record<string, Readonly<Record<string, string>>>>): void {
        for (const [group, state] of this.groups) {
            if (!(group in groups)) {
                this.removedGroups.set(group, state);
                this.groups.delete(group);
            }
        }
        for (const [group, instances] of Object.entries(groups)) {
            const known = this.groups.get(group) ?? this.removedGroups.get(group);
            const state = known ?? createGroup(group, instances, this.startedAtMs, this.options.nowMs());
            state.instances = instances;
            this.groups.set(group, state);
            this.removedGroups.delete(group);
        }
    }

    setVms(vms: readonly ControllerVm[]): void {
        this.vms = vms;
    }

    receive(_fromVm: string, message: Uint8Array): void {
        const batch = decodeLeaseBatch(message);
        if (batch !== undefined) {
            const { from } = batch;
            this.dispatch(batch.messages.map(({ group, message: body }) => ({
                group,
                event: { kind: GroupEventKind.Message, from, message: body },
            })));
        }
    }

    reportInstance(group: string, instance: string, isReachable: boolean): void {
        this.dispatch([{ group, event: { kind: GroupEventKind.InstanceReported, instance, isReachable } }]);
    }

    leadership(): ReadonlyMap<string, GroupLeadership> {
        const leaderships = new Map<string, GroupLeadership>();
        for (const [group, state] of this.groups) {
            const leadership = readLeadership(state, this.context());
            if (leadership !== undefined) {
                leaderships.set(group, leadership);
            }
        }
        return leaderships;
    }

    async promote(group: string, instance: string): Promise<number> {
        if (!this.groups.has(group) || this.pendingPromotions.has(group)) {
            return ResultCode.NotHolder;
        }
        return new Promise(resolve => {
            this.pendingPromotions.set(group, resolve);
            this.dispatch([{ group, event: { kind: GroupEventKind.PromotionRequested, instance } }]);
        });
    }

    async release(): Promise<void> {
        this.dispatchToAll({ kind: GroupEventKind.LeadershipTransferRequested });
        const deadlineAtMs = this.options.nowMs() + RELEASE_TIMEOUT_MS;
        while (this.isLeading() && this.options.nowMs() < deadlineAtMs) {
            await new Promise(resolve => setTimeout(resolve, RELEASE_POLL_INTERVAL_MS));
        }
    }

    close(): void {
        clearTimeout(this.timer);
        clearInterval(this.timer);
        stop(this.system);
        for (const resolve of this.pendingPromotions.values()) {
            resolve(ResultCode.OutcomeUnknown);
        }
        this.pendingPromotions.clear();
    }

    private startTicking(): void {
        this.timer = setInterval(() => this.dispatchToAll({ kind: GroupEventKind.Tick }), TICK_INTERVAL_MS);
    }

    private isLeading(): boolean {
        return [...this.groups.values()].some(state => isHolder(state, { ...this.context(), actions: [] }));
    }

    private dispatchToAll(event: GroupEvent): void {
        this.dispatch([...this.groups.keys()].map(group => ({ group, event })));
    }

    private dispatch(envelopes: readonly GroupEventEnvelope[]): void {
        dispatch(this.mailbox, envelopes);
    }

    private context(): Omit<Step, "actions"> {
        const { vm, incarnation } = this.options;
        return { self: { vm, incarnation }, vms: this.vms, guards: ALL_GUARDS, nowMs: this.options.nowMs() };
    }

    private step(envelopes: readonly GroupEventEnvelope[]): void {
        for (const { group, event } of envelopes) {
            const state = this.groups.get(group);
            if (state !== undefined) {
                this.actions.run(group, stepGroup(state, event, this.context()));
            }
        }
        this.actions.flush();
    }

    private reportChange(group: string): void {
        const leadership = readLeadership(this.groups.get(group)!, this.context());
        if (leadership !== undefined) {
            this.options.onChange(leadership);
        }
    }

    private finishPromotion(group: string, code: ResultCode): void {
        this.pendingPromotions.get(group)?.(code);
        this.pendingPromotions.delete(group);
    }
}
