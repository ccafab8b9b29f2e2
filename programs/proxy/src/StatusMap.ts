import { PrimarySamples } from "@pomeloturn/instance-holder/PrimarySamples";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { instanceKey, type InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LogPosition } from "@pomeloturn/types/LogPosition";

const toPosition = (position: pomeloturn.peer.IPosition | null | undefined): LogPosition => ({
    term: position?.term ?? 0,
    position: position?.position ?? 0,
});

/** Status of the instances that this VM uses, as their holders report it. */
export class StatusMap {
    private readonly statusByKey = new Map<string, InstanceStatus>();
    private readonly samples = new Map<string, PrimarySamples>();

    private constructor(private readonly view: () => ControlView) {}

    static create(view: () => ControlView): StatusMap {
        return new StatusMap(view);
    }

    /** Status of each instance by `instanceKey`. */
    get statuses(): ReadonlyMap<string, InstanceStatus> {
        return this.statusByKey;
    }

    /**
     * Applies a report. Ignores it if its sender does not hold the instance.
     *
     * @param vm sender of the report
     * @param requestedAtMs monotonic time in milliseconds at which this VM requested the report. The holder's sample is older than
     *     the arrival of the request by at most its age, so `requestedAtMs` minus the age is a safe bound.
     */
    applyReport(vm: string, report: pomeloturn.peer.IInstanceStatus, requestedAtMs: number, nowMs: number): void {
        const group = report.group ?? "";
        const instance = report.instance ?? "";
        if (this.view().groups[group]?.holders[instance] !== vm) {
            return;
        }
        const samples = this.findSamples(group);
        const primarySample = toPosition(report.primarySample);
        if (primarySample.term !== 0) {
            samples.add({ position: primarySample, sampledAtMs: requestedAtMs - (report.primarySampleAgeMs ?? 0) });
        }
        const replayed = toPosition(report.replayed);
        const covered = samples.findCovered(replayed);
        this.statusByKey.set(instanceKey(group, instance), {
            replayed,
            primarySample: covered?.position ?? { term: 0, position: 0 },
            primarySampledAtMs: covered?.sampledAtMs ?? 0,
            receivedAtMs: nowMs,
            freeSlots: report.freeSlots ?? 0,
            queued: report.queued ?? [],
            credits: [...report.credits ?? []],
            isReachable: report.isReachable ?? false,
            serviceTimeUs: report.serviceTimeUs ?? 0,
        });
    }

    private findSamples(group: string): PrimarySamples {
        const known = this.samples.get(group);
        if (known !== undefined) {
            return known;
        }
        const created = PrimarySamples.create();
        this.samples.set(group, created);
        return created;
    }
}
