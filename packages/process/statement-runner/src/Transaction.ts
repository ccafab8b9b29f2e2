import { within } from "@pomeloturn/clock/within";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { createLostReply } from "@pomeloturn/instance-connection/InstanceConnection";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { createErrorReply } from "@pomeloturn/statement-session/answerLocally";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { Freshness, type RouteEntry } from "@pomeloturn/types/ServiceEntries";
import { StatementKind } from "@pomeloturn/types/Statement";
import { alignFor, awaitReply, forgetPrepared } from "./attemptRead.ts";
import { awaitLeaderTurn, awaitTurn } from "./awaitTurn.ts";
import { beginAtLeader, type BegunTransaction } from "./beginAtLeader.ts";
import { learnFromReply } from "./learnFromReply.ts";
import { holdLeftMs, type Operation } from "./Operation.ts";
import { recordLeaderPosition } from "./recordLeaderPosition.ts";
import { rollBack } from "./rollBack.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { chooseForRead } from "./runRead.ts";
import { sendAligned } from "./sendAligned.ts";
import { BEGIN_TIMEOUT_MS, PRIMARY_RETRY_AFTER_MS, sleep } from "./timing.ts";

const PAUSE_MS = 20;
const BUSY_PAUSE_MS = 15;

/** Replies after which a statement of an open transaction may be sent once more. */
const REPEATABLE_CODES: ReadonlySet<number> = new Set<number>([ResultCode.QueueFull, ResultCode.UnknownPreparedStatement]);

/** A caller's transaction. It begins at an instance with its first statement, so that a pause after BEGIN holds no connection. */
export class Transaction {
    private begun: BegunTransaction | undefined;
    private hasWritten = false;
    private isEnded = false;

    private constructor(private readonly route: RouteEntry, private readonly isReadOnly: boolean, private readonly ports: RunnerPorts) {}

    static create(route: RouteEntry, isReadOnly: boolean, ports: RunnerPorts): Transaction {
        return new Transaction(route, isReadOnly, ports);
    }

    get routeEntry(): RouteEntry {
        return this.route;
    }

    /** Runs a statement or the COMMIT of the transaction. */
    async run(operation: Operation): Promise<InstanceReply | CallerReply> {
        this.begun ??= await this.begin(operation);
        if (this.begun === undefined) {
            return createErrorReply(
                ResultCode.NoInstance,
                "no instance could begin the transaction",
                TransactionStatus.Failed,
                PRIMARY_RETRY_AFTER_MS,
            );
        }
        if (this.isEnded) {
            this.rollback();
            return createErrorReply(ResultCode.TransactionLost, "the caller has gone", TransactionStatus.Failed);
        }
        const reply = await this.execute(operation, this.begun);
        if (this.isEnded) {
            // The caller left while the statement ran.
            this.rollback();
        }
        return reply;
    }

    /** Ends the transaction without a commit; the connection goes back when the instance has confirmed. */
    rollback(): void {
        this.isEnded = true;
        const { begun } = this;
        if (begun === undefined || begun.lease.outstandingReplyCount > 0) {
            return;
        }
        this.begun = undefined;
        void rollBack(begun.lease);
    }

    private async begin(operation: Operation): Promise<BegunTransaction | undefined> {
        const isAtLeader = !this.isReadOnly || this.route.freshness === Freshness.Primary;
        const excluded = new Set<string>();
        while (this.ports.nowMs() < operation.holdUntilMs && !this.isEnded) {
            const begun = isAtLeader ? await this.beginAtLeader(operation) : await this.beginAtAny(operation, excluded);
            if (begun !== undefined) {
                operation.instance = begun.instance.entry.id;
                return begun;
            }
            await operation.service.waitForChange(Math.min(PAUSE_MS, holdLeftMs(operation, this.ports.nowMs())));
        }
        return undefined;
    }

    private async beginAtLeader(operation: Operation): Promise<BegunTransaction | undefined> {
        if (!await awaitLeaderTurn(operation, this.ports)) {
            return undefined;
        }
        const waitMs = holdLeftMs(operation, this.ports.nowMs());
        const align = (lease: ConnectionLease): ReturnType<typeof alignFor>["commands"] => alignFor(lease, operation).commands;
        return beginAtLeader(operation.service, operation.route.rank, waitMs, align, this.ports);
    }

    private async beginAtAny(operation: Operation, excluded: Set<string>): Promise<BegunTransaction | undefined> {
        const found = await chooseForRead(operation, excluded, this.ports);
        if (found === undefined) {
            excluded.clear();
            return undefined;
        }
        const { instance, requirement } = found;
        excluded.add(instance.entry.id);
        const isTurn = await awaitTurn(instance, operation, this.ports);
        const waitMs = holdLeftMs(operation, this.ports.nowMs());
        const lease = isTurn ? await instance.pool.acquire(operation.route.rank, waitMs) : undefined;
        if (lease === undefined) {
            return undefined;
        }
        const { commands } = alignFor(lease, operation);
        const sent = sendAligned(lease, commands, { kind: CommandKind.BeginRead, after: requirement.after });
        const reply = await within(sent, BEGIN_TIMEOUT_MS);
        if (reply?.code === ResultCode.Ok) {
            return { lease, instance };
        }
        this.recordRefusedBegin(instance, lease, reply, requirement.isOwnPosition);
        return undefined;
    }

    private recordRefusedBegin(
        instance: InstanceRuntime,
        lease: ConnectionLease,
        reply: InstanceReply | undefined,
        isOwnPosition: boolean,
    ): void {
        if (reply === undefined) {
            lease.discard("no answer to BEGIN in time");
            return;
        }
        lease.release(reply.status);
        if (reply.code === ResultCode.ReplicaBehind && !isOwnPosition) {
            instance.recordBehind(reply.position, this.ports.nowMs());
        }
    }

    private async execute(operation: Operation, begun: BegunTransaction): Promise<InstanceReply> {
        const { statement } = operation;
        const sentAtMs = this.ports.nowMs();
        const suspensions = this.ports.checkSuspended();
        for (;;) {
            operation.attempts++;
            const { commands, preparedName } = alignFor(begun.lease, operation);
            const sent = sendAligned(begun.lease, commands, { kind: CommandKind.Forward, statement, preparedName, after: undefined });
            const reply = await awaitReply(sent, begun.lease, operation, this.ports);
            forgetPrepared(begun.lease, reply);
            learnFromReply(begun.instance, reply, sentAtMs, this.ports);
            const isRepeatable = REPEATABLE_CODES.has(reply.code) && reply.status === TransactionStatus.Open;
            if (isRepeatable && this.ports.nowMs() < operation.holdUntilMs) {
                await sleep(BUSY_PAUSE_MS);
                if (this.isEnded) {
                    return createLostReply("the caller left, and the transaction was rolled back");
                }
                continue;
            }
            this.learn(operation, begun, reply, sentAtMs, suspensions);
            return reply;
        }
    }

    private learn(operation: Operation, begun: BegunTransaction, reply: InstanceReply, sentAtMs: number, suspensions: number): void {
        const { service, statement, session, prepared } = operation;
        if (reply.code === ResultCode.Ok) {
            this.hasWritten ||= statement.kind === StatementKind.Write || prepared?.isWrite === true;
        }
        if (reply.code === ResultCode.NotPrimary) {
            service.denyLeader(begun.instance.entry.id);
        }
        if (statement.kind === StatementKind.Commit && reply.code === ResultCode.Ok && this.hasWritten && reply.position !== undefined) {
            recordLeaderPosition(service, begun.instance.entry.id, reply, sentAtMs, suspensions, this.ports);
            session.commitPositions.set(service.name, reply.position);
        }
        if (statement.kind === StatementKind.Commit || reply.code !== ResultCode.Ok) {
            this.finish(begun, reply);
        }
    }

    /** The transaction is over: a failed one is rolled back, also when the instance still holds it open. */
    private finish(begun: BegunTransaction, reply: InstanceReply): void {
        if (reply.status === TransactionStatus.Idle) {
            this.begun = undefined;
            begun.lease.release(reply.status);
            return;
        }
        this.rollback();
    }

    /** Whether a commit that got no answer may have taken effect. */
    get mayHaveCommitted(): boolean {
        return this.hasWritten;
    }
}
