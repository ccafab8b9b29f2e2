import { PrimarySamples } from "@pomeloturn/instance-holder/PrimarySamples";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { instanceKey, type InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LogPosition } from "@pomeloturn/types/LogPosition";

const toPosition = (position: pomeloturn.peer.IPosition | null | undefined): LogPosition => ({
    term: position?.term ?? 0,
    position: position?.position ?? 0,
});

/** What this VM knows of the instances that it uses, from their holders' reports. */
export class StatusMap {
    private readonly entries = new Map<string, InstanceStatus>();
    private readonly samples = new Map<string, PrimarySamples>();

    private constructor(private readonly view: () => ControlView) {}

    static create(view: () => ControlView): StatusMap {
        return new StatusMap(view);
    }

    /** Status of each instance by `instanceKey`. */
    get statuses(): ReadonlyMap<string, InstanceStatus> {
        return this.entries;
    }

    /**
     * Takes a report, unless its sender no longer holds the instance.
     *
     * @param askedAtMs monotonic time at which this VM asked, in milliseconds. The holder's sample is at
     *     most its age older than the arrival of the ask, so `askedAtMs` less the age is a safe bound.
     */
    receive(vm: string, report: pomeloturn.peer.IInstanceStatus, askedAtMs: number, nowMs: number): void {
        const group = report.group ?? "";
        const instance = report.instance ?? "";
        if (this.view().groups[group]?.holders[instance] !== vm) {
            return;
        }
        const samples = this.findSamples(group);
        const primarySample = toPosition(report.primarySample);
        if (primarySample.term !== 0) {
            samples.add({ position: primarySample, sampledAtMs: askedAtMs - (report.primarySampleAgeMs ?? 0) });
        }
        const replayed = toPosition(report.replayed);
        const covered = samples.findCovered(replayed);
        this.entries.set(instanceKey(group, instance), {
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
