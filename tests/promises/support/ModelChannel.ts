import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { createLostReply } from "@pomeloturn/instance-connection/InstanceConnection";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { StatementKind } from "@pomeloturn/types/Statement";
import type { ModelGroup, ModelInstance } from "./ModelGroup.ts";

const ONE_WAY_MS = 1;
const GREETING_MS = 12;
const WORK_MS = 5;

/** Faults of a channel, by command. */
export interface ChannelFaults {
    /** Share of the answers to callers' statements that are lost with the connection after the statement ran. */
    answerLostShare: number;
    busyShare: number;
    readonly random: () => number;
}

interface OpenTransaction {
    readonly isPlain: boolean;
    readonly term: number;
    readonly writes: string[];
    owner: string | undefined;
}

type Forwarded = Extract<InstanceCommand, { kind: "forward"; }>;
type Outcome = Pick<InstanceReply, "code" | "rows">;

const done: Outcome = { code: ResultCode.Ok, rows: [] };
const failed = (code: number): Outcome => ({ code, rows: [] });

/** A connection to a modelled instance. */
export class ModelChannel implements CommandChannel {
    readonly startupReply: Promise<InstanceReply>;
    isClosed = false;
    private readonly values = new Map<string, string>();
    private readonly prepared = new Map<string, string>();
    private readonly waiting: ((reply: InstanceReply) => void)[] = [];
    private transaction: OpenTransaction | undefined;
    private isFailed = false;
    private readonly generation: number;
    private freeAtMs = 0;

    constructor(
        private readonly group: ModelGroup,
        private readonly instance: ModelInstance,
        private readonly faults: ChannelFaults,
        private readonly nowMs: () => number,
        private readonly onClosed: (reason: string, isRemote: boolean) => void,
    ) {
        this.generation = instance.generation;
        this.startupReply = new Promise(resolve => this.waiting.push(resolve));
        setTimeout(() => this.instance.isDark ? undefined : this.reply(done), GREETING_MS);
    }

    get outstandingReplyCount(): number {
        return this.waiting.length;
    }

    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[] {
        if (this.isClosed) {
            return commands.map(() => Promise.resolve(createLostReply("closed")));
        }
        return commands.map(command => {
            const isWork = command.kind === CommandKind.Forward;
            this.freeAtMs = Math.max(this.freeAtMs, this.nowMs() + ONE_WAY_MS) + (isWork ? WORK_MS : 0);
            setTimeout(() => this.process(command), this.freeAtMs - this.nowMs());
            return new Promise<InstanceReply>(resolve => this.waiting.push(resolve));
        });
    }

    close(reason: string): void {
        this.end(reason, false);
    }

    private end(reason: string, isRemote: boolean): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.transaction = undefined;
            this.waiting.splice(0).forEach(resolve => resolve(createLostReply(reason)));
            this.onClosed(reason, isRemote);
        }
    }

    private process(command: InstanceCommand): void {
        if (this.isClosed || this.instance.isDark) {
            return;
        }
        if (this.generation !== this.instance.generation) {
            this.end("the instance crashed", true);
            return;
        }
        const outcome = this.run(command);
        if (command.kind === CommandKind.Forward && this.faults.random() < this.faults.answerLostShare) {
            this.end("the answer was lost", true);
            return;
        }
        this.reply(outcome);
    }

    private reply({ code, rows }: Outcome): void {
        const status = this.isFailed
            ? TransactionStatus.Failed
            : this.transaction === undefined
            ? TransactionStatus.Idle
            : TransactionStatus.Open;
        const position = this.group.positionOf(this.instance);
        const reply = { code, rows, proof: code === ResultCode.Ok ? "proof" : "", text: "", status, position };
        setTimeout(() => this.waiting.shift()?.(reply), ONE_WAY_MS);
    }

    private run(command: InstanceCommand): Outcome {
        const isLeader = this.group.leaderId === this.instance.id;
        if (command.kind === CommandKind.Forward) {
            return this.forward(command, isLeader);
        }
        if (command.kind === CommandKind.Begin || command.kind === CommandKind.BeginRead) {
            const isPlain = command.kind === CommandKind.Begin;
            if (isPlain && !isLeader) {
                return failed(ResultCode.NotPrimary);
            }
            if (command.kind === CommandKind.BeginRead && command.after !== undefined && !this.group.holds(this.instance, command.after)) {
                return failed(ResultCode.ReplicaBehind);
            }
            this.transaction = { isPlain, term: this.group.term, writes: [], owner: undefined };
        }
        else if (command.kind === CommandKind.Rollback) {
            this.transaction = undefined;
            this.isFailed = false;
        }
        else if (command.kind === CommandKind.Reset) {
            this.values.clear();
            this.prepared.clear();
        }
        else if (command.kind === CommandKind.Set) {
            this.values.set(command.name, command.value);
        }
        else if (command.kind === CommandKind.Prepare) {
            this.prepared.set(command.name, command.shape);
        }
        return done;
    }

    private forward({ statement, preparedName, after }: Forwarded, isLeader: boolean): Outcome {
        const { transaction } = this;
        if (this.faults.random() < this.faults.busyShare) {
            return failed(ResultCode.QueueFull);
        }
        if (after !== undefined && !this.group.holds(this.instance, after)) {
            return failed(ResultCode.ReplicaBehind);
        }
        if (transaction?.isPlain === true && transaction.term !== this.group.term) {
            this.isFailed = true;
            return failed(ResultCode.NotPrimary);
        }
        this.checkPlace(statement.id, preparedName);
        if (statement.kind === StatementKind.Commit) {
            this.transaction = undefined;
            transaction?.writes.forEach(requestId => this.group.commit(this.instance, requestId));
            return done;
        }
        const isWrite = statement.kind === StatementKind.Write || this.prepared.get(preparedName)?.startsWith("write") === true;
        if (!isWrite) {
            this.group.checkRead(this.instance, statement.id);
            return { code: ResultCode.Ok, rows: [statement.id] };
        }
        if (!isLeader || transaction?.isPlain === false) {
            return failed(ResultCode.NotPrimary);
        }
        if (transaction === undefined) {
            this.group.commit(this.instance, statement.id);
        }
        else {
            transaction.writes.push(statement.id);
        }
        return done;
    }

    /** Checks that the statement runs in its own transaction, with its session's values and statements. */
    private checkPlace(requestId: string, preparedName: string): void {
        const { group, transaction } = this;
        const expected = group.expectations.get(requestId);
        if (expected === undefined) {
            group.violations.push(`UNASKED ${requestId}`);
            return;
        }
        const owner = expected.transaction === undefined ? `single-${requestId}` : `${expected.session}-${expected.transaction}`;
        if (transaction !== undefined) {
            transaction.owner ??= owner;
        }
        if (expected.transaction !== undefined && transaction === undefined) {
            group.violations.push(`PINNED ${requestId}: outside its transaction`);
        }
        if (transaction !== undefined && transaction.owner !== owner) {
            group.violations.push(`PINNED ${requestId}: in the transaction of ${transaction.owner}`);
        }
        if (JSON.stringify([...this.values].sort()) !== JSON.stringify([...expected.values].sort())) {
            group.violations.push(`PINNED ${requestId}: other session values`);
        }
        if (expected.shape !== undefined && this.prepared.get(preparedName) !== expected.shape) {
            group.violations.push(`PINNED ${requestId}: prepared ${this.prepared.get(preparedName)}, not ${expected.shape}`);
        }
    }
}
