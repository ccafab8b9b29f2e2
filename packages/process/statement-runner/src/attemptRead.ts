import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { type SynchronizationPlan, synchronizeConnection } from "@pomeloturn/statement-session/ConnectionState";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { beginAtLeader } from "./beginAtLeader.ts";
import type { Operation } from "./Operation.ts";
import { recordReply } from "./recordReply.ts";
import { releaseAfterRollback, rollBack } from "./rollBack.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { sendAfterSynchronization } from "./sendAfterSynchronization.ts";
import { connectionWaitMs, waitForLeaderTurn, waitForTurn } from "./waitForTurn.ts";

/** Time after a statement's deadline at which a connection that has not answered is closed. */
const ABANDON_MARGIN_MS = 20;

/** Returns the commands that bring a connection to the session's state before the operation's statement. */
export const planSynchronization = (lease: ConnectionLease, { session, prepared }: Operation): SynchronizationPlan =>
    synchronizeConnection(lease.connectionState, session.settings, prepared);

/** Waits for the reply, and closes the connection if none arrives before the statement's deadline. */
export const awaitReply = async (
    pendingReply: Promise<InstanceReply>,
    lease: ConnectionLease,
    { deadlineAtMs }: Operation,
    ports: RunnerPorts,
): Promise<InstanceReply> => {
    const timer = setTimeout(
        () => lease.discard("the instance did not answer before the statement's deadline"),
        deadlineAtMs + ABANDON_MARGIN_MS - ports.nowMs(),
    );
    const reply = await pendingReply;
    clearTimeout(timer);
    return reply;
};

/** Clears the record of prepared statements if the reply says that the connection lacks one, so that they are prepared again. */
export const invalidatePreparedStatements = (lease: ConnectionLease, { code }: InstanceReply): void => {
    if (code === ResultCode.UnknownPreparedStatement) {
        lease.connectionState.preparedNames.clear();
    }
};

/** Updates the instance's state from the reply to a read. */
const recordReadReply = (
    instance: InstanceRuntime,
    reply: InstanceReply,
    sentAtMs: number,
    isCommitPosition: boolean,
    ports: RunnerPorts,
): void => {
    recordReply(instance, reply, sentAtMs, ports);
    if (reply.code === ResultCode.ReplicaBehind && !isCommitPosition) {
        instance.recordBehind(reply.position, ports.nowMs());
    }
};

/**
 * Sends a read to an instance.
 *
 * @param after position that the instance must have replayed to run the read; undefined when any will do
 * @param isCommitPosition whether `after` is a commit of the session itself, which a healthy replica may not have yet
 * @param waitMs time to wait for a connection
 * @returns undefined when no connection was available or the statement is already done
 */
export const attemptRead = async (
    operation: Operation,
    instance: InstanceRuntime,
    after: LogPosition | undefined,
    isCommitPosition: boolean,
    waitMs: number,
    ports: RunnerPorts,
): Promise<InstanceReply | undefined> => {
    const limitAtMs = ports.nowMs() + waitMs;
    const lease = await waitForTurn(instance, operation, limitAtMs, ports)
        ? await instance.pool.acquire(
            operation.route.rank,
            connectionWaitMs(instance, waitMs, limitAtMs, ports.nowMs()),
            operation.identity,
        )
        : undefined;
    if (lease === undefined) {
        return undefined;
    }
    if (operation.isDone) {
        // Another attempt has answered, or the caller has disconnected, in the meantime.
        lease.release(TransactionStatus.Idle);
        return undefined;
    }
    const { commands, preparedName } = planSynchronization(lease, operation);
    const sentAtMs = ports.nowMs();
    const { statement } = operation;
    const sent = sendAfterSynchronization(lease, commands, { kind: CommandKind.Forward, statement, preparedName, after });
    const reply = await awaitReply(sent, lease, operation, ports);
    invalidatePreparedStatements(lease, reply);
    lease.release(reply.status);
    recordReadReply(instance, reply, sentAtMs, isCommitPosition, ports);
    return reply;
};

/**
 * Sends a read to the primary inside a transaction of its own. The BEGIN confirms that the instance is still the primary.
 *
 * @param waitMs time to wait for a connection
 * @returns undefined when the primary could not be used
 */
export const attemptPrimaryRead = async (operation: Operation, waitMs: number, ports: RunnerPorts): Promise<InstanceReply | undefined> => {
    let preparedName = "";
    const synchronize = (lease: ConnectionLease): SynchronizationPlan["commands"] => {
        const plan = planSynchronization(lease, operation);
        preparedName = plan.preparedName;
        return plan.commands;
    };
    const limitAtMs = ports.nowMs() + waitMs;
    const isAllowed = await waitForLeaderTurn(operation, limitAtMs, ports);
    const { service, route, identity } = operation;
    const leftMs = service.leader === undefined ? waitMs : connectionWaitMs(service.leader, waitMs, limitAtMs, ports.nowMs());
    const begun = isAllowed ? await beginAtLeader(service, route.rank, leftMs, identity, synchronize, ports) : undefined;
    if (begun === undefined) {
        return undefined;
    }
    const { lease, instance } = begun;
    if (operation.isDone) {
        void rollBack(lease);
        return undefined;
    }
    const sentAtMs = ports.nowMs();
    const { statement } = operation;
    const [answer, rollbackReply] = lease.send([
        { kind: CommandKind.Forward, statement, preparedName, after: undefined },
        { kind: CommandKind.Rollback },
    ]);
    const reply = await awaitReply(answer!, lease, operation, ports);
    invalidatePreparedStatements(lease, reply);
    void releaseAfterRollback(lease, rollbackReply!);
    recordReadReply(instance, reply, sentAtMs, false, ports);
    return reply;
};
