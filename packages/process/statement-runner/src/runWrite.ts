import { within } from "@pomeloturn/clock/within";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { createErrorReply } from "@pomeloturn/statement-session/answerLocally";
import { createConnectionState } from "@pomeloturn/statement-session/ConnectionState";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { alignFor, awaitReply, forgetPrepared } from "./attemptRead.ts";
import { awaitTurn } from "./awaitTurn.ts";
import { judgeWrite, Verdict } from "./judgeReply.ts";
import { learnFromReply } from "./learnFromReply.ts";
import { holdLeftMs, type Operation } from "./Operation.ts";
import { recordLeaderPosition } from "./recordLeaderPosition.ts";
import { Evidence, type RunnerPorts } from "./RunnerPorts.ts";
import { sendAligned } from "./sendAligned.ts";
import { PRIMARY_RETRY_AFTER_MS, sleep } from "./timing.ts";

/** A connection that was idle for longer is asked for a sign of life before a write goes out on it. */
const VERIFY_IDLE_MS = 1_000;
const VERIFY_TIMEOUT_MS = 250;
const MAXIMUM_ATTEMPTS = 10;
const PAUSE_MS = 25;

/** Whether a connection still answers: one that has gone silent would leave a write in doubt. */
const isAlive = async (lease: ConnectionLease): Promise<boolean> => {
    if (lease.idleMs < VERIFY_IDLE_MS) {
        return true;
    }
    const [reply] = lease.send([{ kind: CommandKind.Reset }]);
    Object.assign(lease.connectionState, createConnectionState());
    const { code } = await within(reply!, VERIFY_TIMEOUT_MS) ?? { code: ResultCode.BackendLost };
    if (code !== ResultCode.Ok) {
        lease.discard("no sign of life");
    }
    return code === ResultCode.Ok;
};

/** The caller may have gone while its write waited: the write is not sent then. */
const takeUnlessDone = (operation: Operation, lease: ConnectionLease): ConnectionLease | undefined => {
    if (operation.isDone) {
        lease.release(TransactionStatus.Idle);
        return undefined;
    }
    return lease;
};

/** Takes a verified connection to the primary. @returns undefined when none can be had now */
const acquireAtLeader = async (operation: Operation, ports: RunnerPorts): Promise<ConnectionLease | undefined> => {
    const { service, route } = operation;
    const { leader } = service;
    if (leader === undefined || leader.pool.isUnreachable) {
        await service.waitForChange(Math.min(2 * PAUSE_MS, holdLeftMs(operation, ports.nowMs())));
        return undefined;
    }
    if (!await awaitTurn(leader, operation, ports)) {
        return undefined;
    }
    const lease = await leader.pool.acquire(route.rank, holdLeftMs(operation, ports.nowMs()));
    if (lease === undefined) {
        await sleep(PAUSE_MS);
        return undefined;
    }
    operation.instance = leader.entry.id;
    if (await isAlive(lease)) {
        return takeUnlessDone(operation, lease);
    }
    ports.onSuspect(service.name, leader.entry.id, Evidence.Silent);
    return undefined;
};

/** Sends the write once. */
const attemptWrite = async (operation: Operation, lease: ConnectionLease, ports: RunnerPorts): Promise<InstanceReply> => {
    const { service, session, statement, instance } = operation;
    const { commands, preparedName } = alignFor(lease, operation);
    const sentAtMs = ports.nowMs();
    const suspensions = ports.checkSuspended();
    const sent = sendAligned(lease, commands, { kind: CommandKind.Forward, statement, preparedName, after: undefined });
    const reply = await awaitReply(sent, lease, operation, ports);
    forgetPrepared(lease, reply);
    lease.release(reply.status);
    learnFromReply(service.instances.get(instance), reply, sentAtMs, ports);
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

/** Runs a write outside a transaction. Once it was sent it is repeated only if it surely did not run. */
export const runWrite = async (operation: Operation, ports: RunnerPorts): Promise<InstanceReply | CallerReply> => {
    let lastCode: number = ResultCode.NoInstance;
    while (!operation.isDone && operation.attempts < MAXIMUM_ATTEMPTS && ports.nowMs() < operation.holdUntilMs) {
        const lease = await acquireAtLeader(operation, ports);
        if (lease === undefined) {
            continue;
        }
        operation.attempts++;
        const reply = await attemptWrite(operation, lease, ports);
        if (judgeWrite(reply) === Verdict.Answer) {
            return reply;
        }
        lastCode = reply.code;
        if (reply.code !== ResultCode.QueueFull) {
            await sleep(PAUSE_MS);
        }
    }
    return createErrorReply(ResultCode.NoInstance, `last result ${lastCode}`, operation.session.status, PRIMARY_RETRY_AFTER_MS);
};
