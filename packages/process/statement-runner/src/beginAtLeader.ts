import { withTimeout } from "@pomeloturn/clock/withTimeout";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { CommandKind, type InstanceCommand } from "@pomeloturn/types/InstanceCommand";
import { recordLeaderPosition } from "./recordLeaderPosition.ts";
import { AttemptFailure, type RunnerPorts } from "./RunnerPorts.ts";
import { sendAfterSynchronization } from "./sendAfterSynchronization.ts";
import { BEGIN_TIMEOUT_MS } from "./timing.ts";

/** A transaction that has begun at an instance, and the leased connection that it runs on. */
export interface BegunTransaction {
    readonly lease: ConnectionLease;
    readonly instance: InstanceRuntime;
}

/**
 * Begins a transaction at the primary, which confirms that the instance is still the primary. Nothing may be
 * pipelined behind the BEGIN: if it is refused, the statement would run outside any transaction.
 *
 * @param waitMs time to wait for a connection
 * @param identity identity that the connection must have been opened under
 * @param synchronization commands that bring the connection to the session's state, or a function that returns them
 * @returns undefined when the primary could not be used; the failure is reported and recorded
 */
export const beginAtLeader = async (
    service: ServiceRuntime,
    rank: number,
    waitMs: number,
    identity: string,
    synchronization: readonly InstanceCommand[] | ((lease: ConnectionLease) => readonly InstanceCommand[]),
    ports: RunnerPorts,
): Promise<BegunTransaction | undefined> => {
    const instance = service.leader;
    const lease = await instance?.pool.acquire(rank, waitMs, identity);
    if (instance === undefined || lease === undefined) {
        return undefined;
    }
    const commands = typeof synchronization === "function" ? synchronization(lease) : synchronization;
    const askedAtMs = ports.nowMs();
    const suspensions = ports.detectSuspensions();
    const reply = await withTimeout(sendAfterSynchronization(lease, commands, { kind: CommandKind.Begin }), BEGIN_TIMEOUT_MS);
    if (reply?.code === ResultCode.Ok) {
        recordLeaderPosition(service, instance.entry.id, reply, askedAtMs, suspensions, ports);
        return { lease, instance };
    }
    if (reply === undefined) {
        instance.pacing?.recordLoss(askedAtMs);
        ports.onInstanceSuspected(service.name, instance.entry.id, AttemptFailure.TimedOut);
        lease.discard(`the instance did not answer BEGIN within ${BEGIN_TIMEOUT_MS} ms`);
    }
    else if (reply.code === ResultCode.BackendLost) {
        instance.pacing?.recordLoss(askedAtMs);
        ports.onInstanceSuspected(service.name, instance.entry.id, AttemptFailure.Refused);
    }
    else {
        if (reply.code === ResultCode.NotPrimary) {
            service.denyLeader(instance.entry.id);
        }
        lease.release(reply.status);
    }
    return undefined;
};
