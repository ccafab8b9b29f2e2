import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import type { GroupAction } from "@pomeloturn/promote-primary/GroupAction";
import type { GroupEvent } from "@pomeloturn/promote-primary/GroupEvent";
import { createGroup, type GroupState, type Step } from "@pomeloturn/promote-primary/GroupState";
import { readLeadership } from "@pomeloturn/promote-primary/readLeadership";
import { stepGroup } from "@pomeloturn/promote-primary/stepGroup";
import type { ControllerVm, GroupLeadership } from "@pomeloturn/types/Leadership";

/** A VM that runs a proxy: its clock, its controller's state of the simulated group, and the leadership that its proxy knows. */
export class FakeVm {
    incarnation = 1;
    isDown = false;
    pausedUntilMs = 0;
    /** VMs that this one has seen alive, each with the virtual time at which it was last seen. */
    readonly lastSeenVms = new Map<string, { vm: ControllerVm; atMs: number; }>();
    vms: readonly ControllerVm[] = [];
    state: GroupState;
    /** The last leadership with a lease that the controller published; the proxy keeps it when the controller restarts. */
    proxyLeadership: GroupLeadership | undefined;

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

    /** Converts virtual time to this VM's monotonic clock, which has its own offset and rate. */
    localMs(nowMs: number): number {
        return this.clockOffsetMs + nowMs * this.clockRate;
    }

    createStepContext(nowMs: number): Omit<Step, "actions"> {
        const self = { vm: this.name, incarnation: this.incarnation };
        return { self, vms: this.vms, guards: this.guards, nowMs: this.localMs(nowMs) };
    }

    step(event: GroupEvent, nowMs: number): readonly GroupAction[] {
        const actions = stepGroup(this.state, event, this.createStepContext(nowMs));
        const leadership = readLeadership(this.state, this.createStepContext(nowMs));
        if (leadership?.leaseExpiresAtMs !== undefined) {
            this.proxyLeadership = leadership;
        }
        return actions;
    }

    isLeading(nowMs: number): boolean {
        return !this.isDown && (this.proxyLeadership?.leaseExpiresAtMs ?? -Infinity) > this.localMs(nowMs);
    }

    /** Starts a new controller incarnation with empty state. The proxy keeps the leadership that it knows. */
    restartController(nowMs: number): void {
        this.incarnation++;
        this.lastSeenVms.clear();
        this.state = this.createState(nowMs);
    }

    private createState(nowMs: number): GroupState {
        return createGroup("ledger-1", this.instances, this.localMs(nowMs), this.localMs(nowMs));
    }
}
