import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import type { GroupAction } from "@pomeloturn/promote-primary/GroupAction";
import type { GroupEvent } from "@pomeloturn/promote-primary/GroupEvent";
import { createGroup, type GroupState, type Step } from "@pomeloturn/promote-primary/GroupState";
import { readLeadership } from "@pomeloturn/promote-primary/readLeadership";
import { stepGroup } from "@pomeloturn/promote-primary/stepGroup";
import type { ControllerVm, GroupLeadership } from "@pomeloturn/types/Leadership";

/** An entry VM: its clock, its controller's state of the one group, and what its proxy believes. */
export class FakeVm {
    incarnation = 1;
    isDown = false;
    pausedUntilMs = 0;
    /** VMs that this one has heard of, with the time. */
    readonly seen = new Map<string, { vm: ControllerVm; atMs: number; }>();
    vms: readonly ControllerVm[] = [];
    state: GroupState;
    /** The last lease that the controller published; the proxy keeps it when the controller dies. */
    proxy: GroupLeadership | undefined;

    constructor(
        readonly name: string,
        readonly failureDomain: string,
        readonly clockRate: number,
        private readonly clockOffsetMs: number,
        private readonly instances: Readonly<Record<string, string>>,
        private readonly guards: LeaseGuards,
    ) {
        this.state = this.createState(0);
    }

    /** This VM's monotonic clock. */
    localMs(nowMs: number): number {
        return this.clockOffsetMs + nowMs * this.clockRate;
    }

    context(nowMs: number): Omit<Step, "actions"> {
        const self = { vm: this.name, incarnation: this.incarnation };
        return { self, vms: this.vms, guards: this.guards, nowMs: this.localMs(nowMs) };
    }

    step(event: GroupEvent, nowMs: number): readonly GroupAction[] {
        const actions = stepGroup(this.state, event, this.context(nowMs));
        const leadership = readLeadership(this.state, this.context(nowMs));
        if (leadership?.leaseExpiresAtMs !== undefined) {
            this.proxy = leadership;
        }
        return actions;
    }

    isLeading(nowMs: number): boolean {
        return !this.isDown && (this.proxy?.leaseExpiresAtMs ?? -Infinity) > this.localMs(nowMs);
    }

    /** A new controller that remembers nothing. The proxy goes on with what it was told. */
    restartController(nowMs: number): void {
        this.incarnation++;
        this.seen.clear();
        this.state = this.createState(nowMs);
    }

    private createState(nowMs: number): GroupState {
        return createGroup("ledger-1", this.instances, this.localMs(nowMs), this.localMs(nowMs));
    }
}
