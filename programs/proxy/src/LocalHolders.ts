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

/** Holders of the instances that the view assigns to this VM. Sends requests to them. */
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
        const holder = this.findOrCreate(request.group, request.instance) ?? this.findTransactionHolder(request);
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

    /** Reads the status of each held instance with a fresh sample. `onStatus` is called once for each instance. */
    requestStatus(vm: string, onStatus: (status: pomeloturn.peer.IInstanceStatus) => void): void {
        for (const [group, { holders }] of Object.entries(this.view().groups)) {
            for (const instance of Object.keys(holders)) {
                void this.findOrCreate(group, instance)?.readStatus(vm).then(onStatus);
            }
        }
    }

    /** Creates holders of newly assigned instances, and closes those of instances that are no longer assigned once they are idle. */
    refresh(): void {
        for (const [group, { holders }] of Object.entries(this.view().groups)) {
            for (const instance of Object.keys(holders)) {
                this.findOrCreate(group, instance);
            }
        }
        for (const [key, holder] of this.holders) {
            if (!this.isAssigned(holder.group, holder.instance) && holder.isIdle) {
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

    private findOrCreate(group: string, instance: string): InstanceHolder | undefined {
        const key = instanceKey(group, instance);
        if (!this.isAssigned(group, instance)) {
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

    /** A holder whose instance is no longer assigned to this VM still serves the transactions that are open on its connections. */
    private findTransactionHolder({ group, instance, transactionId }: ForwardRequest): InstanceHolder | undefined {
        const holder = this.holders.get(instanceKey(group, instance));
        return holder?.hasTransaction(transactionId) === true ? holder : undefined;
    }

    private isAssigned(group: string, instance: string): boolean {
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

    /** Ranks of the service that uses the group, or one rank without a floor if no service uses it. */
    private findRanks(group: string): readonly AdmissionRank[] {
        const services = Object.values(this.view().configuration.services);
        return services.find(({ groups }) => groups.includes(group))?.ranks ?? [DEFAULT_RANK];
    }
}
