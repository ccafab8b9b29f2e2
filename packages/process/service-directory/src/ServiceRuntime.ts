import { createSamples, type PositionSamples } from "@pomeloturn/position-samples/PositionSamples";
import { createKnownLeader, type KnownLeader, recordConfirmation, recordDenial } from "@pomeloturn/replace-primary/knownLeader";
import type { InstanceRuntime } from "./InstanceRuntime.ts";

/** What this VM knows of a service: a primary and its replicas. */
export class ServiceRuntime {
    readonly instances = new Map<string, InstanceRuntime>();
    readonly samples: PositionSamples = createSamples();
    readonly belief: KnownLeader = createKnownLeader();
    /** Set while a sample of the primary's position is being taken. */
    sampling: Promise<void> | undefined;
    private readonly leaderWaiters = new Set<() => void>();

    private constructor(readonly name: string) {}

    static create(name: string): ServiceRuntime {
        return new ServiceRuntime(name);
    }

    get leader(): InstanceRuntime | undefined {
        const { leaderId } = this.belief;
        return leaderId === undefined ? undefined : this.instances.get(leaderId);
    }

    confirmLeader(id: string, term: number): void {
        recordConfirmation(this.belief, id, term);
        this.wakeWaiters();
    }

    denyLeader(id: string): void {
        recordDenial(this.belief, id);
        this.wakeWaiters();
    }

    /** Waits until the belief in who leads may have changed. */
    waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                clearTimeout(timer);
                this.leaderWaiters.delete(done);
                resolve();
            };
            const timer = setTimeout(done, waitMs);
            this.leaderWaiters.add(done);
        });
    }

    wakeWaiters(): void {
        [...this.leaderWaiters].forEach(done => done());
    }
}
