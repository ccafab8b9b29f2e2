import { withTimeout } from "@pomeloturn/clock/withTimeout";
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
import { awaitReply, invalidatePreparedStatements, planSynchronization } from "./attemptRead.ts";
import { beginAtLeader, type BegunTransaction } from "./beginAtLeader.ts";
import { type Operation, sendTimeLeftMs } from "./Operation.ts";
import { recordLeaderPosition } from "./recordLeaderPosition.ts";
import { recordReply } from "./recordReply.ts";
import { rollBack } from "./rollBack.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { chooseReadInstance } from "./runRead.ts";
import { sendAfterSynchronization } from "./sendAfterSynchronization.ts";
import { BEGIN_TIMEOUT_MS, PRIMARY_RETRY_AFTER_MS, sleep } from "./timing.ts";
import { waitForLeaderTurn, waitForTurn } from "./waitForTurn.ts";

const RETRY_PAUSE_MS = 20;
const BUSY_PAUSE_MS = 15;

/** Result codes after which a statement of an open transaction may be sent again. */
const REPEATABLE_CODES: ReadonlySet<number> = new Set<number>([ResultCode.QueueFull, ResultCode.UnknownPreparedStatement]);

/**
 * A caller's transaction. It begins at an instance with its first statement, so that a caller that pauses after BEGIN
 * occupies no connection.
 */
export class Transaction {
    private begun: BegunTransaction | undefined;
    private hasWritten = false;
    private isEnded = false;

    private constructor(
        private readonly route: RouteEntry,
        readonly identity: string,
        private readonly isReadOnly: boolean,
        private readonly ports: RunnerPorts,
    ) {}

    static create(route: RouteEntry, identity: string, isReadOnly: boolean, ports: RunnerPorts): Transaction {
        return new Transaction(route, identity, isReadOnly, ports);
    }

    /** Whether the transaction has begun at an instance. */
    get hasBegun(): boolean {
        return this.begun !== undefined;
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
                `no instance could begin the transaction of service ${operation.route.service} in time`,
                TransactionStatus.Failed,
                operation.retryAfterMs ?? PRIMARY_RETRY_AFTER_MS,
            );
        }
        if (this.isEnded) {
            this.rollback();
            return createErrorReply(
                ResultCode.TransactionLost,
                "the caller disconnected before the statement was sent",
                TransactionStatus.Failed,
            );
        }
        const reply = await this.execute(operation, this.begun);
        if (this.isEnded) {
            // The caller disconnected while the statement ran.
            this.rollback();
        }
        return reply;
    }

    /** Ends the transaction without a commit. The connection returns to its pool once the instance has confirmed the rollback. */
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
        while (this.ports.nowMs() < operation.sendDeadlineAtMs && !this.isEnded) {
            const begun = isAtLeader ? await this.beginAtLeader(operation) : await this.beginAtAny(operation, excluded);
            if (begun !== undefined) {
                operation.instance = begun.instance.entry.id;
                return begun;
            }
            await operation.service.waitForChange(Math.min(RETRY_PAUSE_MS, sendTimeLeftMs(operation, this.ports.nowMs())));
        }
        return undefined;
    }

    private async beginAtLeader(operation: Operation): Promise<BegunTransaction | undefined> {
        if (!await waitForLeaderTurn(operation, operation.sendDeadlineAtMs, this.ports)) {
            return undefined;
        }
        const waitMs = sendTimeLeftMs(operation, this.ports.nowMs());
        const synchronize = (lease: ConnectionLease): ReturnType<typeof planSynchronization>["commands"] =>
            planSynchronization(lease, operation).commands;
        return beginAtLeader(operation.service, operation.route.rank, waitMs, operation.identity, synchronize, this.ports);
    }

    private async beginAtAny(operation: Operation, excluded: Set<string>): Promise<BegunTransaction | undefined> {
        const found = await chooseReadInstance(operation, excluded, this.ports);
        if (found === undefined) {
            excluded.clear();
            return undefined;
        }
        const { instance, requirement } = found;
        excluded.add(instance.entry.id);
        const isAllowed = await waitForTurn(instance, operation, operation.sendDeadlineAtMs, this.ports);
        const waitMs = sendTimeLeftMs(operation, this.ports.nowMs());
        const lease = isAllowed ? await instance.pool.acquire(operation.route.rank, waitMs, operation.identity) : undefined;
        if (lease === undefined) {
            return undefined;
        }
        const { commands } = planSynchronization(lease, operation);
        const askedAtMs = this.ports.nowMs();
        const sent = sendAfterSynchronization(lease, commands, { kind: CommandKind.BeginRead, after: requirement.after });
        const reply = await withTimeout(sent, BEGIN_TIMEOUT_MS);
        if (reply?.code === ResultCode.Ok) {
            return { lease, instance };
        }
        this.handleFailedBegin(instance, lease, reply, requirement.isCommitPosition, askedAtMs);
        return undefined;
    }

    private handleFailedBegin(
        instance: InstanceRuntime,
        lease: ConnectionLease,
        reply: InstanceReply | undefined,
        isCommitPosition: boolean,
        askedAtMs: number,
    ): void {
        if (reply === undefined || reply.code === ResultCode.BackendLost) {
            instance.pacing?.recordLoss(askedAtMs);
        }
        if (reply === undefined) {
            lease.discard(`the instance did not answer BEGIN within ${BEGIN_TIMEOUT_MS} ms`);
            return;
        }
        lease.release(reply.status);
        if (reply.code === ResultCode.ReplicaBehind && !isCommitPosition) {
            instance.recordBehind(reply.position, this.ports.nowMs());
        }
    }

    private async execute(operation: Operation, begun: BegunTransaction): Promise<InstanceReply> {
        const { statement } = operation;
        const sentAtMs = this.ports.nowMs();
        const suspensions = this.ports.detectSuspensions();
        for (;;) {
            operation.attempts++;
            const { commands, preparedName } = planSynchronization(begun.lease, operation);
            const sent = sendAfterSynchronization(begun.lease, commands, {
                kind: CommandKind.Forward,
                statement,
                preparedName,
                after: undefined,
            });
            const reply = await awaitReply(sent, begun.lease, operation, this.ports);
            invalidatePreparedStatements(begun.lease, reply);
            recordReply(begun.instance, reply, sentAtMs, this.ports);
            const isRepeatable = REPEATABLE_CODES.has(reply.code) && reply.status === TransactionStatus.Open;
            if (isRepeatable && this.ports.nowMs() < operation.sendDeadlineAtMs) {
                await sleep(BUSY_PAUSE_MS);
                if (this.isEnded) {
                    return createLostReply("the transaction was rolled back because its caller disconnected");
                }
                continue;
            }
            this.applyReply(operation, begun, reply, sentAtMs, suspensions);
            return reply;
        }
    }

    private applyReply(operation: Operation, begun: BegunTransaction, reply: InstanceReply, sentAtMs: number, suspensions: number): void {
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
            this.releaseConnection(begun, reply);
        }
    }

    /** Releases the connection of a finished transaction, with a rollback if the instance still has the transaction open. */
    private releaseConnection(begun: BegunTransaction, reply: InstanceReply): void {
        if (reply.status === TransactionStatus.Idle) {
            this.begun = undefined;
            begun.lease.release(reply.status);
            return;
        }
        this.rollback();
    }

    /** Whether a COMMIT without an answer may have taken effect. */
    get mayHaveCommitted(): boolean {
        return this.hasWritten;
    }
}
