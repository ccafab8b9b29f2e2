import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { InstanceHolder } from "@pomeloturn/instance-holder/InstanceHolder";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import type { AnswerPart, ForwardRequest, RequestTarget } from "@pomeloturn/types/Request";

/** The instances that this VM holds. */
export class LocalHolders implements RequestTarget {
    private readonly holders = new Map<string, InstanceHolder>();

    private constructor(private readonly vm: string, private readonly view: () => ControlView, private readonly nowMs: () => number) {}

    static create(vm: string, view: () => ControlView, nowMs: () => number): LocalHolders {
        return new LocalHolders(vm, view, nowMs);
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        const holder = this.find(request.group, request.instance);
        if (holder === undefined) {
            onPart(failedAnswer(request, ResultCode.NotHolder));
            return;
        }
        holder.submit(request, onPart);
    }

    cancel(_requestId: number): void {}

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.holders.get(instanceKey(group, instance))?.endTransaction(transactionId);
    }

    close(): void {
        for (const holder of this.holders.values()) {
            holder.close();
        }
    }

    private find(group: string, instance: string): InstanceHolder | undefined {
        const key = instanceKey(group, instance);
        if (this.view().groups[group]?.holders[instance] !== this.vm) {
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

    private createHolder(group: string, instance: string): InstanceHolder | undefined {
        const groupConfiguration = this.view().configuration.groups[group];
        const instanceConfiguration = groupConfiguration?.instances[instance];
        if (groupConfiguration === undefined || instanceConfiguration === undefined) {
            return undefined;
        }
        return InstanceHolder.create({
            vm: this.vm,
            group,
            instance,
            groupConfiguration,
            instanceConfiguration,
            groupView: () => this.view().groups[group],
            nowMs: this.nowMs,
        });
    }
}
