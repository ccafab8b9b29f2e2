import type { ControlView } from "@pomeloturn/types/ControlView";
import type { InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LocalHolders } from "./LocalHolders.ts";
import type { RequestRouter } from "./RequestRouter.ts";
import { StatusMap } from "./StatusMap.ts";

const ASK_INTERVAL_MS = 200;
/** Answers that come later than this are dropped. */
const ASK_TIMEOUT_MS = 5_000;
/** A group counts as used for this long after the last request to it. */
const GROUP_USE_MS = 60_000;

/** What a status puller works with. */
export interface StatusPullerOptions {
    readonly vm: string;
    readonly router: RequestRouter;
    readonly local: LocalHolders;
    view(): ControlView;
    nowMs(): number;
}

/** Asks the holders of the groups in use for the state of their instances, several times a second. */
export class StatusPuller {
    private readonly map: StatusMap;
    private readonly askedAtMs = new Map<number, number>();
    private readonly groupUsedAtMs = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;
    private nextSequence = 1;

    private constructor(private readonly options: StatusPullerOptions) {
        this.map = StatusMap.create(() => options.view());
        options.router.onGroupUsed = group => this.useGroup(group);
        options.router.onInstanceStatus = (vm, status) => {
            const askedAtMs = this.askedAtMs.get(status.sequence ?? 0);
            if (askedAtMs !== undefined) {
                this.map.receive(vm, status, askedAtMs, options.nowMs());
                options.router.receiveCredits(status.group ?? "", status.instance ?? "", status.credits ?? [], askedAtMs);
            }
        };
        this.timer = setInterval(() => this.ask(), ASK_INTERVAL_MS);
        this.timer.unref();
    }

    static create(options: StatusPullerOptions): StatusPuller {
        return new StatusPuller(options);
    }

    /** Status of each instance by `instanceKey`. */
    get statuses(): ReadonlyMap<string, InstanceStatus> {
        return this.map.statuses;
    }

    close(): void {
        clearInterval(this.timer);
    }

    private useGroup(group: string): void {
        const isNew = !this.groupUsedAtMs.has(group);
        this.groupUsedAtMs.set(group, this.options.nowMs());
        if (isNew) {
            this.ask();
        }
    }

    private ask(): void {
        const { vm, local, router } = this.options;
        const askedAtMs = this.options.nowMs();
        this.forgetBefore(askedAtMs);
        local.askStatus(vm, status => this.map.receive(vm, status, askedAtMs, this.options.nowMs()));
        const sequence = this.nextSequence++;
        this.askedAtMs.set(sequence, askedAtMs);
        for (const peer of this.usedPeers()) {
            router.askStatus(peer, sequence);
        }
    }

    private forgetBefore(askedAtMs: number): void {
        for (const [sequence, sentAtMs] of this.askedAtMs) {
            if (askedAtMs - sentAtMs > ASK_TIMEOUT_MS) {
                this.askedAtMs.delete(sequence);
            }
        }
        for (const [group, usedAtMs] of this.groupUsedAtMs) {
            if (askedAtMs - usedAtMs > GROUP_USE_MS) {
                this.groupUsedAtMs.delete(group);
            }
        }
    }

    private usedPeers(): Set<string> {
        const { groups } = this.options.view();
        const peers = new Set([...this.groupUsedAtMs.keys()].flatMap(group => Object.values(groups[group]?.holders ?? {})));
        peers.delete(this.options.vm);
        return peers;
    }
}
