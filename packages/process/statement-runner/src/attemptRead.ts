import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { type SynchronizationPlan, synchronizeConnection } from "@pomeloturn/statement-session/ConnectionState";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { awaitLeaderTurn, awaitTurn } from "./awaitTurn.ts";
import { beginAtLeader } from "./beginAtLeader.ts";
import { learnFromReply } from "./learnFromReply.ts";
import type { Operation } from "./Operation.ts";
import { rollBack } from "./rollBack.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { sendAligned } from "./sendAligned.ts";

/** Time after a statement's limit at which a connection that has not answered is closed. */
const ABANDON_MARGIN_MS = 20;

/** Brings a connection to the session's state before the operation's statement. */
export const alignFor = (lease: ConnectionLease, { session, prepared }: Operation): SynchronizationPlan =>
    synchronizeConnection(lease.connectionState, session.settings, prepared);

/** Closes the connection unless a reply comes before the statement's limit. */
export const awaitReply = async (
    promise: Promise<InstanceReply>,
    lease: ConnectionLease,
    { deadlineAtMs }: Operation,
    ports: RunnerPorts,
): Promise<InstanceReply> => {
    const timer = setTimeout(
        () => lease.discard("no answer within the statement's limit"),
        deadlineAtMs + ABANDON_MARGIN_MS - ports.nowMs(),
    );
    const reply = await promise;
    clearTimeout(timer);
    return reply;
};

/** A reply that says that the connection no longer has the prepared statement makes the next statement prepare it again. */
export const forgetPrepared = (lease: ConnectionLease, { code }: InstanceReply): void => {
    if (code === ResultCode.UnknownPreparedStatement) {
        lease.connectionState.preparedNames.clear();
    }
};

/** Learns from the reply to a read. */
const learn = (instance: InstanceRuntime, reply: InstanceReply, sentAtMs: number, isOwnPosition: boolean, ports: RunnerPorts): void => {
    learnFromReply(instance, reply, sentAtMs, ports);
    if (reply.code === ResultCode.ReplicaBehind && !isOwnPosition) {
        instance.recordBehind(reply.position, ports.nowMs());
    }
};

/**
 * Sends a read to an instance, which runs it only if its log holds a position.
 *
 * @param isOwnPosition whether the position is a commit of the session, which replicas may not have yet
 * @returns undefined when no connection could be had
 */
export const attemptRead = async (
    operation: Operation,
    instance: InstanceRuntime,
    after: LogPosition | undefined,
    isOwnPosition: boolean,
    waitMs: number,
    ports: RunnerPorts,
): Promise<InstanceReply | undefined> => {
    const lease = await awaitTurn(instance, operation, ports) ? await instance.pool.acquire(operation.route.rank, waitMs) : undefined;
    if (lease === undefined) {
        return undefined;
    }
    if (operation.isDone) {
        // Another attempt has answered meanwhile.
        lease.release(TransactionStatus.Idle);
        return undefined;
    }
    const { commands, preparedName } = alignFor(lease, operation);
    const sentAtMs = ports.nowMs();
    const { statement } = operation;
    const sent = sendAligned(lease, commands, { kind: CommandKind.Forward, statement, preparedName, after });
    const reply = await awaitReply(sent, lease, operation, ports);
    forgetPrepared(lease, reply);
    lease.release(reply.status);
    learn(instance, reply, sentAtMs, isOwnPosition, ports);
    return reply;
};

/**
 * Sends a read to the primary inside a transaction of its own, which proves that the primary leads.
 *
 * @returns undefined when the primary could not be used
 */
export const attemptPrimaryRead = async (operation: Operation, waitMs: number, ports: RunnerPorts): Promise<InstanceReply | undefined> => {
    let preparedName = "";
    const align = (lease: ConnectionLease): SynchronizationPlan["commands"] => {
        const alignment = alignFor(lease, operation);
        preparedName = alignment.preparedName;
        return alignment.commands;
    };
    const isTurn = await awaitLeaderTurn(operation, ports);
    const begun = isTurn ? await beginAtLeader(operation.service, operation.route.rank, waitMs, align, ports) : undefined;
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
    const [answer, ended] = lease.send([
        { kind: CommandKind.Forward, statement, preparedName, after: undefined },
        { kind: CommandKind.Rollback },
    ]);
    void ended!.then(({ status }) => lease.release(status));
    const reply = await awaitReply(answer!, lease, operation, ports);
    forgetPrepared(lease, reply);
    learn(instance, reply, sentAtMs, false, ports);
    return reply;
};
