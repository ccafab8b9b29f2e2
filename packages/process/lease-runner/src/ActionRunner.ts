import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import { groupRowKey } from "@pomeloturn/group-lease/GroupRow";
import { type GroupAction, GroupActionKind } from "@pomeloturn/promote-primary/GroupAction";
import { type GroupEvent, GroupEventKind } from "@pomeloturn/promote-primary/GroupEvent";
import { PROBE_TIMEOUT_MS } from "@pomeloturn/promote-primary/promotionTiming";
import type { InstanceProbe, LeaseServiceOptions } from "@pomeloturn/types/Leadership";
import { encodeLeaseBatch, type GroupMessage } from "./leaseBatch.ts";

type ActionOf<Kind extends GroupAction["kind"]> = Extract<GroupAction, { readonly kind: Kind; }>;
type Handlers = { readonly [Kind in GroupAction["kind"]]: (group: string, action: ActionOf<Kind>) => void; };

/** An event and the group to which it applies. */
export interface GroupEventEnvelope {
    readonly group: string;
    readonly event: GroupEvent;
}

/** Callbacks of `ActionRunner` for results of actions. */
export interface ActionCallbacks {
    onEvents(envelopes: readonly GroupEventEnvelope[]): void;
    onChanged(group: string): void;
    onPromotionFinished(group: string, code: ResultCode): void;
}

/** Rejects when the promise has not settled within `PROBE_TIMEOUT_MS`. The call itself may still take effect. */
const rejectAfterTimeout = async <Value>(call: Promise<Value>): Promise<Value> => {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => reject(new Error(`no answer within ${PROBE_TIMEOUT_MS} ms`)), PROBE_TIMEOUT_MS);
    });
    try {
        return await Promise.race([call, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
};

/** Executes the actions of groups. Messages are sent in one batch per VM, and rows are read in one call. */
export class ActionRunner {
    private readonly outbox = new Map<string, GroupMessage[]>();
    private readonly pendingReads = new Set<string>();
    private readonly handlers: Handlers;
    private readonly self: VmIncarnation;

    private constructor(private readonly options: LeaseServiceOptions, private readonly callbacks: ActionCallbacks) {
        this.self = { vm: options.vm, incarnation: options.incarnation };
        this.handlers = this.createHandlers();
    }

    static create(options: LeaseServiceOptions, callbacks: ActionCallbacks): ActionRunner {
        return new ActionRunner(options, callbacks);
    }

    run(group: string, actions: readonly GroupAction[]): void {
        for (const action of actions) {
            (this.handlers[action.kind] as (group: string, action: GroupAction) => void)(group, action);
        }
    }

    /** Sends the messages and reads the rows that the actions of one actor turn have requested. */
    flush(): void {
        for (const [vm, messages] of this.outbox) {
            this.options.send(vm, encodeLeaseBatch({ from: this.self, messages }));
        }
        this.outbox.clear();
        if (this.pendingReads.size > 0) {
            const groups = [...this.pendingReads];
            this.pendingReads.clear();
            void this.readRows(groups);
        }
    }

    private createHandlers(): Handlers {
        const { database } = this.options;
        return {
            [GroupActionKind.Send]: (group, { vm, message }) => this.sendMessage(vm, { group, message }),
            [GroupActionKind.ReadRow]: group => this.pendingReads.add(group),
            [GroupActionKind.WriteRow]: (group, action) => void this.writeRow(group, action),
            [GroupActionKind.Probe]: (group, { instance }) =>
                void this.probe(group, instance, GroupEventKind.Probed, () => database.probe(group, instance)),
            [GroupActionKind.Freeze]: (group, { instance }) =>
                void this.probe(group, instance, GroupEventKind.Frozen, async () => {
                    await database.follow(group, instance, "");
                    return database.probe(group, instance);
                }),
            [GroupActionKind.Follow]: (group, { instance, upstream }) =>
                void this.callAndReportFailure(
                    "follow",
                    `${group}/${instance}`,
                    rejectAfterTimeout(database.follow(group, instance, upstream)),
                ),
            [GroupActionKind.Promote]: (group, { instance }) => void this.promote(group, instance),
            [GroupActionKind.FinishPromotion]: (group, { code }) => this.callbacks.onPromotionFinished(group, code),
            [GroupActionKind.LeadershipChanged]: group => this.callbacks.onChanged(group),
        };
    }

    private sendMessage(vm: string, message: GroupMessage): void {
        if (vm === this.self.vm) {
            this.report(message.group, { kind: GroupEventKind.Message, from: this.self, message: message.message });
            return;
        }
        const messages = this.outbox.get(vm) ?? [];
        messages.push(message);
        this.outbox.set(vm, messages);
    }

    private report(group: string, event: GroupEvent): void {
        this.callbacks.onEvents([{ group, event }]);
    }

    private async readRows(groups: readonly string[]): Promise<void> {
        const rows = await this.callAndReportFailure("read rows", groups.join(" "), this.options.table.read(groups.map(groupRowKey)));
        const byKey = new Map(rows?.map(row => [row.key, row]));
        this.callbacks.onEvents(
            groups.map(group => ({ group, event: { kind: GroupEventKind.RowRead, row: byKey.get(groupRowKey(group)) } })),
        );
    }

    private async writeRow(group: string, { operationId, expectedVersion, expectedEra, value }: ActionOf<"writeRow">): Promise<void> {
        const write = { key: groupRowKey(group), expectedVersion, expectedEra, value };
        const result = await this.callAndReportFailure("write row", group, this.options.table.transact(operationId, [write]));
        this.report(group, { kind: GroupEventKind.RowWritten, operationId, result });
    }

    private async probe(
        group: string,
        instance: string,
        kind: typeof GroupEventKind.Probed | typeof GroupEventKind.Frozen,
        call: () => Promise<InstanceProbe>,
    ): Promise<void> {
        const sentAtMs = this.options.nowMs();
        const probe = await this.callAndReportFailure("probe", `${group}/${instance}`, rejectAfterTimeout(call()));
        this.report(group, { kind, instance, sentAtMs, probe });
    }

    private async promote(group: string, instance: string): Promise<void> {
        await this.callAndReportFailure(
            "promote",
            `${group}/${instance}`,
            rejectAfterTimeout(this.options.database.promote(group, instance)),
        );
        this.report(group, { kind: GroupEventKind.Promoted, instance });
    }

    /** @returns undefined when the call failed, after reporting it to `onCallFailed`; the call may have taken effect */
    private async callAndReportFailure<Value>(name: string, subject: string, call: Promise<Value>): Promise<Value | undefined> {
        try {
            return await call;
        }
        catch (error) {
            this.options.onCallFailed(name, subject, error as Error);
            return undefined;
        }
    }
}
