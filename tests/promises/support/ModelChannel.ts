import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { createLostReply } from "@pomeloturn/instance-connection/InstanceConnection";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { StatementKind } from "@pomeloturn/types/Statement";
import type { ModelGroup, ModelInstance } from "./ModelGroup.ts";

const ONE_WAY_MS = 1;
const STARTUP_REPLY_MS = 12;
const STATEMENT_DURATION_MS = 5;

/** Faults that are applied to each command of a channel. */
export interface ChannelFaults {
    /** Share of the callers' statements whose reply is lost, together with the connection, after the statement ran. */
    replyLossShare: number;
    busyShare: number;
    readonly random: () => number;
}

interface OpenTransaction {
    readonly isReadWrite: boolean;
    readonly term: number;
    readonly writeRequestIds: string[];
    owner: string | undefined;
}

type Forwarded = Extract<InstanceCommand, { kind: "forward"; }>;
type Outcome = Pick<InstanceReply, "code" | "rows">;

const SUCCESS: Outcome = { code: ResultCode.Ok, rows: [] };
const createFailure = (code: number): Outcome => ({ code, rows: [] });

/** A connection to a simulated instance. */
export class ModelChannel implements CommandChannel {
    readonly startupReply: Promise<InstanceReply>;
    isClosed = false;
    private readonly settings = new Map<string, string>();
    private readonly preparedShapes = new Map<string, string>();
    private readonly pendingReplies: ((reply: InstanceReply) => void)[] = [];
    private transaction: OpenTransaction | undefined;
    private isTransactionFailed = false;
    private readonly generation: number;
    private busyUntilMs = 0;

    constructor(
        private readonly group: ModelGroup,
        private readonly instance: ModelInstance,
        private readonly faults: ChannelFaults,
        private readonly nowMs: () => number,
        private readonly onClosed: (reason: string, isRemote: boolean) => void,
    ) {
        this.generation = instance.generation;
        this.startupReply = new Promise(resolve => this.pendingReplies.push(resolve));
        setTimeout(() => this.instance.isUnresponsive ? undefined : this.reply(SUCCESS), STARTUP_REPLY_MS);
    }

    get outstandingReplyCount(): number {
        return this.pendingReplies.length;
    }

    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[] {
        if (this.isClosed) {
            return commands.map(() => Promise.resolve(createLostReply("the connection is closed")));
        }
        return commands.map(command => {
            const isStatement = command.kind === CommandKind.Forward;
            this.busyUntilMs = Math.max(this.busyUntilMs, this.nowMs() + ONE_WAY_MS) + (isStatement ? STATEMENT_DURATION_MS : 0);
            setTimeout(() => this.process(command), this.busyUntilMs - this.nowMs());
            return new Promise<InstanceReply>(resolve => this.pendingReplies.push(resolve));
        });
    }

    close(reason: string): void {
        this.terminate(reason, false);
    }

    private terminate(reason: string, isRemote: boolean): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.transaction = undefined;
            this.pendingReplies.splice(0).forEach(resolve => resolve(createLostReply(reason)));
            this.onClosed(reason, isRemote);
        }
    }

    private process(command: InstanceCommand): void {
        if (this.isClosed || this.instance.isUnresponsive) {
            return;
        }
        if (this.generation !== this.instance.generation) {
            this.terminate("the instance crashed", true);
            return;
        }
        const outcome = this.run(command);
        if (command.kind === CommandKind.Forward && this.faults.random() < this.faults.replyLossShare) {
            this.terminate("the reply was lost", true);
            return;
        }
        this.reply(outcome);
    }

    private reply({ code, rows }: Outcome): void {
        const status = this.isTransactionFailed
            ? TransactionStatus.Failed
            : this.transaction === undefined
            ? TransactionStatus.Idle
            : TransactionStatus.Open;
        const position = this.group.lastPositionOf(this.instance);
        const reply = { code, rows, proof: code === ResultCode.Ok ? "proof" : "", text: "", status, position };
        setTimeout(() => this.pendingReplies.shift()?.(reply), ONE_WAY_MS);
    }

    private run(command: InstanceCommand): Outcome {
        const isLeader = this.group.leaderId === this.instance.id;
        if (command.kind === CommandKind.Forward) {
            return this.forward(command, isLeader);
        }
        if (command.kind === CommandKind.Begin || command.kind === CommandKind.BeginRead) {
            const isReadWrite = command.kind === CommandKind.Begin;
            if (isReadWrite && !isLeader) {
                return createFailure(ResultCode.NotPrimary);
            }
            if (
                command.kind === CommandKind.BeginRead && command.after !== undefined
                && !this.group.hasPosition(this.instance, command.after)
            ) {
                return createFailure(ResultCode.ReplicaBehind);
            }
            this.transaction = { isReadWrite, term: this.group.term, writeRequestIds: [], owner: undefined };
        }
        else if (command.kind === CommandKind.Rollback) {
            this.transaction = undefined;
            this.isTransactionFailed = false;
        }
        else if (command.kind === CommandKind.Reset) {
            this.settings.clear();
            this.preparedShapes.clear();
        }
        else if (command.kind === CommandKind.Set) {
            this.settings.set(command.name, command.value);
        }
        else if (command.kind === CommandKind.Prepare) {
            this.preparedShapes.set(command.name, command.shape);
        }
        return SUCCESS;
    }

    private forward({ statement, preparedName, after }: Forwarded, isLeader: boolean): Outcome {
        const { transaction } = this;
        if (this.faults.random() < this.faults.busyShare) {
            return createFailure(ResultCode.QueueFull);
        }
        if (after !== undefined && !this.group.hasPosition(this.instance, after)) {
            return createFailure(ResultCode.ReplicaBehind);
        }
        if (transaction?.isReadWrite === true && transaction.term !== this.group.term) {
            this.isTransactionFailed = true;
            return createFailure(ResultCode.NotPrimary);
        }
        this.checkSessionState(statement.id, preparedName);
        if (statement.kind === StatementKind.Commit) {
            this.transaction = undefined;
            transaction?.writeRequestIds.forEach(requestId => this.group.commit(this.instance, requestId));
            return SUCCESS;
        }
        const isWrite = statement.kind === StatementKind.Write || this.preparedShapes.get(preparedName)?.startsWith("write") === true;
        if (!isWrite) {
            this.group.checkRead(this.instance, statement.id);
            return { code: ResultCode.Ok, rows: [statement.id] };
        }
        if (!isLeader || transaction?.isReadWrite === false) {
            return createFailure(ResultCode.NotPrimary);
        }
        if (transaction === undefined) {
            this.group.commit(this.instance, statement.id);
        }
        else {
            transaction.writeRequestIds.push(statement.id);
        }
        return SUCCESS;
    }

    /** Checks that the statement runs in its own transaction, with its session's settings and prepared statements. */
    private checkSessionState(requestId: string, preparedName: string): void {
        const { group, transaction } = this;
        const expectation = group.expectations.get(requestId);
        if (expectation === undefined) {
            group.violations.push(`UNASKED ${requestId}`);
            return;
        }
        const owner = expectation.transactionNumber === undefined
            ? `single-${requestId}`
            : `${expectation.session}-${expectation.transactionNumber}`;
        if (transaction !== undefined) {
            transaction.owner ??= owner;
        }
        if (expectation.transactionNumber !== undefined && transaction === undefined) {
            group.violations.push(`PINNED ${requestId}: outside its transaction`);
        }
        if (transaction !== undefined && transaction.owner !== owner) {
            group.violations.push(`PINNED ${requestId}: in the transaction of ${transaction.owner}`);
        }
        if (JSON.stringify([...this.settings].sort()) !== JSON.stringify([...expectation.settings].sort())) {
            group.violations.push(`PINNED ${requestId}: other session values`);
        }
        if (expectation.shape !== undefined && this.preparedShapes.get(preparedName) !== expectation.shape) {
            group.violations.push(`PINNED ${requestId}: prepared ${this.preparedShapes.get(preparedName)}, not ${expectation.shape}`);
        }
    }
}
