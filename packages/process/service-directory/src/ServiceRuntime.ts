import { ChangeSignal } from "@pomeloturn/clock/ChangeSignal";
import { createHedgeBudget, type HedgeBudget } from "@pomeloturn/plan-retry/hedgeBudget";
import { createSamples, type PositionSamples } from "@pomeloturn/position-samples/PositionSamples";
import { createKnownLeader, type KnownLeader, recordConfirmation, recordDenial } from "@pomeloturn/replace-primary/knownLeader";
import type { InstanceRuntime } from "./InstanceRuntime.ts";

/** State that this VM keeps of a service: its primary and replicas. */
export class ServiceRuntime {
    readonly instances = new Map<string, InstanceRuntime>();
    readonly samples: PositionSamples = createSamples();
    readonly knownLeader: KnownLeader = createKnownLeader();
    readonly hedgeBudget: HedgeBudget = createHedgeBudget();
    /** Pending request for a sample of the primary's position. */
    pendingSample: Promise<void> | undefined;
    private readonly changes = ChangeSignal.create();

    private constructor(readonly name: string) {}

    static create(name: string): ServiceRuntime {
        return new ServiceRuntime(name);
    }

    get leader(): InstanceRuntime | undefined {
        const { leaderId } = this.knownLeader;
        return leaderId === undefined ? undefined : this.instances.get(leaderId);
    }

    confirmLeader(id: string, term: number): void {
        recordConfirmation(this.knownLeader, id, term);
        this.notifyWaiters();
    }

    denyLeader(id: string): void {
        recordDenial(this.knownLeader, id);
        this.notifyWaiters();
    }

    /** Resolves when the known primary may have changed, at the latest after `waitMs`. */
    waitForChange(waitMs: number): Promise<void> {
        return this.changes.wait(waitMs);
    }

    notifyWaiters(): void {
        this.changes.notify();
    }
}
