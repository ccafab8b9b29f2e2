import { withTimeout } from "@pomeloturn/clock/withTimeout";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { createErrorReply } from "@pomeloturn/statement-session/answerLocally";
import { createConnectionState } from "@pomeloturn/statement-session/ConnectionState";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { awaitReply, invalidatePreparedStatements, planSynchronization } from "./attemptRead.ts";
import { decideWriteRetry, RetryDecision } from "./decideRetry.ts";
import { type Operation, sendTimeLeftMs } from "./Operation.ts";
import { recordLeaderPosition } from "./recordLeaderPosition.ts";
import { recordReply } from "./recordReply.ts";
import { AttemptFailure, type RunnerPorts } from "./RunnerPorts.ts";
import { sendAfterSynchronization } from "./sendAfterSynchronization.ts";
import { PRIMARY_RETRY_AFTER_MS, sleep } from "./timing.ts";
import { waitForTurn } from "./waitForTurn.ts";

/** A connection that was idle for this long is verified before a write is sent on it. */
const VERIFY_IDLE_MS = 1_000;
const VERIFY_TIMEOUT_MS = 250;
const MAXIMUM_ATTEMPTS = 10;
const RETRY_PAUSE_MS = 25;

/** Verifies that a connection still answers, since a write on a dead connection has an unknown outcome. */
const isAlive = async (lease: ConnectionLease): Promise<boolean> => {
    if (lease.idleMs < VERIFY_IDLE_MS) {
        return true;
    }
    const [reply] = lease.send([{ kind: CommandKind.Reset }]);
    Object.assign(lease.connectionState, createConnectionState());
    const { code } = await withTimeout(reply!, VERIFY_TIMEOUT_MS) ?? { code: ResultCode.BackendLost };
    if (code !== ResultCode.Ok) {
        lease.discard(`the idle connection did not pass its check within ${VERIFY_TIMEOUT_MS} ms (result ${code})`);
    }
    return code === ResultCode.Ok;
};

/** Releases the connection and returns undefined if the caller disconnected while its write waited. */
const releaseIfDone = (operation: Operation, lease: ConnectionLease): ConnectionLease | undefined => {
    if (operation.isDone) {
        lease.release(TransactionStatus.Idle);
        return undefined;
    }
    return lease;
};

/** Acquires a verified connection to the primary. @returns undefined when none is available now */
const acquireLeaderConnection = async (operation: Operation, ports: RunnerPorts): Promise<ConnectionLease | undefined> => {
    const { service, route, identity } = operation;
    const { leader } = service;
    if (leader === undefined || leader.pool.isUnreachable) {
        await service.waitForChange(Math.min(2 * RETRY_PAUSE_MS, sendTimeLeftMs(operation, ports.nowMs())));
        return undefined;
    }
    if (!await waitForTurn(leader, operation, operation.sendDeadlineAtMs, ports)) {
        return undefined;
    }
    const lease = await leader.pool.acquire(route.rank, sendTimeLeftMs(operation, ports.nowMs()), identity);
    if (lease === undefined) {
        await sleep(RETRY_PAUSE_MS);
        return undefined;
    }
    operation.instance = leader.entry.id;
    const askedAtMs = ports.nowMs();
    if (await isAlive(lease)) {
        return releaseIfDone(operation, lease);
    }
    leader.pacing?.recordLoss(askedAtMs);
    ports.onInstanceSuspected(service.name, leader.entry.id, AttemptFailure.TimedOut);
    return undefined;
};

/** Sends the write once and records what its reply says about the instance. */
const attemptWrite = async (operation: Operation, lease: ConnectionLease, ports: RunnerPorts): Promise<InstanceReply> => {
    const { service, session, statement, instance } = operation;
    const { commands, preparedName } = planSynchronization(lease, operation);
    const sentAtMs = ports.nowMs();
    const suspensions = ports.detectSuspensions();
    const sent = sendAfterSynchronization(lease, commands, { kind: CommandKind.Forward, statement, preparedName, after: undefined });
    const reply = await awaitReply(sent, lease, operation, ports);
    invalidatePreparedStatements(lease, reply);
    lease.release(reply.status);
    recordReply(service.instances.get(instance), reply, sentAtMs, ports);
    if (reply.code === ResultCode.Ok) {
        recordLeaderPosition(service, instance, reply, sentAtMs, suspensions, ports);
        if (reply.position !== undefined) {
            session.commitPositions.set(service.name, reply.position);
        }
    }
    else if (reply.code === ResultCode.NotPrimary) {
        service.denyLeader(instance);
    }
    return reply;
};

/** Runs a write outside a transaction. After it was sent, it is retried only if it is certain that it did not run. */
export const runWrite = async (operation: Operation, ports: RunnerPorts): Promise<InstanceReply | CallerReply> => {
    let lastResultCode: number = ResultCode.NoInstance;
    while (!operation.isDone && operation.attempts < MAXIMUM_ATTEMPTS && ports.nowMs() < operation.sendDeadlineAtMs) {
        const lease = await acquireLeaderConnection(operation, ports);
        if (lease === undefined) {
            continue;
        }
        operation.attempts++;
        const reply = await attemptWrite(operation, lease, ports);
        if (decideWriteRetry(reply) === RetryDecision.Return) {
            return reply;
        }
        lastResultCode = reply.code;
        if (reply.code !== ResultCode.QueueFull) {
            await sleep(RETRY_PAUSE_MS);
        }
    }
    return createErrorReply(
        ResultCode.NoInstance,
        `the primary of service ${operation.service.name} did not accept the write; last result ${lastResultCode}`,
        operation.session.status,
        operation.retryAfterMs ?? PRIMARY_RETRY_AFTER_MS,
    );
};
