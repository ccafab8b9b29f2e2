import type { AdmissionRank } from "@pomeloturn/admit-request/AdmissionState";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { InstanceHolder } from "@pomeloturn/instance-holder/InstanceHolder";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { GroupConfiguration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import type { AnswerPart, ForwardRequest, RequestTarget } from "@pomeloturn/types/Request";

const REFRESH_INTERVAL_MS = 1_000;
const DEFAULT_RANK: AdmissionRank = { floorShare: 0, deadlineMs: 5_000 };

/** The instances that this VM holds. */
export class LocalHolders implements RequestTarget {
    private readonly holders = new Map<string, InstanceHolder>();
    private readonly timer: NodeJS.Timeout;
    /** Called after each probe of a held instance. */
    onInstanceHealth: (group: string, instance: string, isReachable: boolean) => void = () => undefined;

    private constructor(private readonly vm: string, private readonly view: () => ControlView, private readonly nowMs: () => number) {
        this.timer = setInterval(() => this.refresh(), REFRESH_INTERVAL_MS);
        this.timer.unref();
    }

    static create(vm: string, view: () => ControlView, nowMs: () => number): LocalHolders {
        return new LocalHolders(vm, view, nowMs);
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender = this.vm): void {
        const holder = this.find(request.group, request.instance) ?? this.findPinned(request);
        if (holder === undefined) {
            onPart(failedAnswer(request, ResultCode.NotHolder));
            return;
        }
        holder.submit(request, onPart, sender);
    }

    cancel(requestId: number, sender = this.vm): void {
        for (const holder of this.holders.values()) {
            holder.cancel(sender, requestId);
        }
    }

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.holders.get(instanceKey(group, instance))?.endTransaction(transactionId);
    }

    /** Reports each held instance once, with a sample that is as fresh as can be had. */
    askStatus(vm: string, onStatus: (status: pomeloturn.peer.IInstanceStatus) => void): void {
        for (const [group, { holders }] of Object.entries(this.view().groups)) {
            for (const instance of Object.keys(holders)) {
                void this.find(group, instance)?.readStatus(vm).then(onStatus);
            }
        }
    }

    /** Starts to hold what the view assigns to this VM and closes what it no longer holds once it is unused. */
    refresh(): void {
        for (const [group, { holders }] of Object.entries(this.view().groups)) {
            for (const instance of Object.keys(holders)) {
                this.find(group, instance);
            }
        }
        for (const [key, holder] of this.holders) {
            if (!this.isHeld(holder.group, holder.instance) && holder.isIdle) {
                holder.close();
                this.holders.delete(key);
            }
        }
    }

    close(): void {
        clearInterval(this.timer);
        for (const holder of this.holders.values()) {
            holder.close();
        }
    }

    private find(group: string, instance: string): InstanceHolder | undefined {
        const key = instanceKey(group, instance);
        if (!this.isHeld(group, instance)) {
            return undefined;
        }
        const known = this.holders.get(key);
        if (known !== undefined) {
            return known;
        }
        const created = this.createHolder(group, instance);
        if (created !== undefined) {
            this.holders.set(key, created);
        }
        return created;
    }

    /** A holder that lost its instance still serves the transactions that are open on its connections. */
    private findPinned({ group, instance, transactionId }: ForwardRequest): InstanceHolder | undefined {
        const holder = this.holders.get(instanceKey(group, instance));
        return holder?.hasTransaction(transactionId) === true ? holder : undefined;
    }

    private isHeld(group: string, instance: string): boolean {
        return this.view().groups[group]?.holders[instance] === this.vm;
    }

    private createHolder(group: string, instance: string): InstanceHolder | undefined {
        const groupConfiguration = this.view().configuration.groups[group];
        const instanceConfiguration = groupConfiguration?.instances[instance];
        if (groupConfiguration === undefined || instanceConfiguration === undefined) {
            return undefined;
        }
        const findConfiguration = (): GroupConfiguration => this.view().configuration.groups[group] ?? groupConfiguration;
        const findRanks = (): readonly AdmissionRank[] => this.findRanks(group);
        return InstanceHolder.create({
            vm: this.vm,
            group,
            instance,
            get groupConfiguration() {
                return findConfiguration();
            },
            get instanceConfiguration() {
                return findConfiguration().instances[instance] ?? instanceConfiguration;
            },
            get ranks() {
                return findRanks();
            },
            groupView: () => this.view().groups[group],
            nowMs: this.nowMs,
            random: Math.random,
            onHealth: isReachable => this.onInstanceHealth(group, instance, isReachable),
        });
    }

    /** Ranks of the service that uses the group; one rank without a floor when there is none. */
    private findRanks(group: string): readonly AdmissionRank[] {
        const services = Object.values(this.view().configuration.services);
        return services.find(({ groups }) => groups.includes(group))?.ranks ?? [DEFAULT_RANK];
    }
}
