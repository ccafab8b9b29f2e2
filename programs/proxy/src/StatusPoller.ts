import type { ControlView } from "@pomeloturn/types/ControlView";
import type { InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LocalHolders } from "./LocalHolders.ts";
import type { RequestRouter } from "./RequestRouter.ts";
import { StatusMap } from "./StatusMap.ts";

const POLL_INTERVAL_MS = 200;
/** Reports that arrive later than this are dropped. */
const REPORT_TIMEOUT_MS = 5_000;
/** Time after the last request to a group for which the group counts as in use. */
const GROUP_USE_TIMEOUT_MS = 60_000;

/** Dependencies of `StatusPoller`. */
export interface StatusPollerOptions {
    readonly vm: string;
    readonly router: RequestRouter;
    readonly local: LocalHolders;
    view(): ControlView;
    nowMs(): number;
}

/** Requests the status of the instances of all groups in use from their holders, several times per second. */
export class StatusPoller {
    private readonly map: StatusMap;
    private readonly requestedAtMs = new Map<number, number>();
    private readonly groupUsedAtMs = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;
    private nextSequence = 1;

    private constructor(private readonly options: StatusPollerOptions) {
        this.map = StatusMap.create(() => options.view());
        options.router.onGroupUsed = group => this.recordGroupUse(group);
        options.router.onInstanceStatus = (vm, status) => {
            const requestedAtMs = this.requestedAtMs.get(status.sequence ?? 0);
            if (requestedAtMs !== undefined) {
                this.map.applyReport(vm, status, requestedAtMs, options.nowMs());
                options.router.applyCreditReport(status.group ?? "", status.instance ?? "", status.credits ?? [], requestedAtMs);
            }
        };
        this.timer = setInterval(() => this.poll(), POLL_INTERVAL_MS);
        this.timer.unref();
    }

    static create(options: StatusPollerOptions): StatusPoller {
        return new StatusPoller(options);
    }

    /** Status of each instance by `instanceKey`. */
    get statuses(): ReadonlyMap<string, InstanceStatus> {
        return this.map.statuses;
    }

    close(): void {
        clearInterval(this.timer);
    }

    private recordGroupUse(group: string): void {
        const isNew = !this.groupUsedAtMs.has(group);
        this.groupUsedAtMs.set(group, this.options.nowMs());
        if (isNew) {
            this.poll();
        }
    }

    private poll(): void {
        const { vm, local, router } = this.options;
        const requestedAtMs = this.options.nowMs();
        this.removeExpired(requestedAtMs);
        local.requestStatus(vm, status => this.map.applyReport(vm, status, requestedAtMs, this.options.nowMs()));
        const sequence = this.nextSequence++;
        this.requestedAtMs.set(sequence, requestedAtMs);
        for (const peer of this.findPeersInUse()) {
            router.requestStatus(peer, sequence);
        }
    }

    private removeExpired(requestedAtMs: number): void {
        for (const [sequence, sentAtMs] of this.requestedAtMs) {
            if (requestedAtMs - sentAtMs > REPORT_TIMEOUT_MS) {
                this.requestedAtMs.delete(sequence);
            }
        }
        for (const [group, usedAtMs] of this.groupUsedAtMs) {
            if (requestedAtMs - usedAtMs > GROUP_USE_TIMEOUT_MS) {
                this.groupUsedAtMs.delete(group);
            }
        }
    }

    private findPeersInUse(): Set<string> {
        const { groups } = this.options.view();
        const peers = new Set([...this.groupUsedAtMs.keys()].flatMap(group => Object.values(groups[group]?.holders ?? {})));
        peers.delete(this.options.vm);
        return peers;
    }
}
