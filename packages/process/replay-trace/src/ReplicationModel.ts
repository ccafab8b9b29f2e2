import type { ReplayDeployment } from "./ReplayDeployment.ts";
import { type FaultLine, TraceLineKind } from "./TraceLine.ts";

/** Models the positions of a group's instances over time. Each committed write advances the position by one. */
export class ReplicationModel {
    readonly primary: string;
    private readonly commitTimesMs: number[] = [];

    private constructor(private readonly deployment: ReplayDeployment, private readonly faults: readonly FaultLine[]) {
        this.primary = Object.keys(deployment.instances)[0]!;
    }

    static create(deployment: ReplayDeployment, faults: readonly FaultLine[]): ReplicationModel {
        return new ReplicationModel(deployment, faults);
    }

    /** @returns the position after the write */
    commit(nowMs: number): number {
        this.commitTimesMs.push(nowMs);
        return this.commitTimesMs.length;
    }

    position(instance: string, nowMs: number): number {
        if (instance === this.primary) {
            return this.commitTimesMs.length;
        }
        const horizonMs = nowMs - this.deployment.replicationLagMs;
        const fault = this.findActiveLag(instance, nowMs);
        if (fault === undefined) {
            return this.committedBefore(horizonMs);
        }
        // Replay never goes back: at the start of the fault it stops until the lag has grown to `lagMs`.
        const startHorizonMs = Math.min(horizonMs, fault.atMs - this.deployment.replicationLagMs);
        return this.committedBefore(Math.max(startHorizonMs, nowMs - fault.lagMs!));
    }

    private committedBefore(horizonMs: number): number {
        let count = this.commitTimesMs.length;
        while (count > 0 && this.commitTimesMs[count - 1]! > horizonMs) {
            count--;
        }
        return count;
    }

    isPrimaryDown(nowMs: number): boolean {
        return this.faults.some(fault => fault.kind === TraceLineKind.PrimaryDown && isActive(fault, nowMs));
    }

    private findActiveLag(instance: string, nowMs: number): FaultLine | undefined {
        return this.faults.find(fault => fault.kind === TraceLineKind.Lag && fault.instance === instance && isActive(fault, nowMs));
    }
}

const isActive = (fault: FaultLine, nowMs: number): boolean => nowMs >= fault.atMs && nowMs < fault.atMs + fault.forMs;
