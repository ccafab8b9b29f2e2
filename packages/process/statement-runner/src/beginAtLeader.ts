import { within } from "@pomeloturn/clock/within";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { CommandKind, type InstanceCommand } from "@pomeloturn/types/InstanceCommand";
import { recordLeaderPosition } from "./recordLeaderPosition.ts";
import { Evidence, type RunnerPorts } from "./RunnerPorts.ts";
import { sendAligned } from "./sendAligned.ts";
import { BEGIN_TIMEOUT_MS } from "./timing.ts";

/** A transaction that has begun at the primary. */
export interface BegunTransaction {
    readonly lease: ConnectionLease;
    readonly instance: InstanceRuntime;
}

/**
 * Begins a transaction at the primary, which proves that it leads. Nothing may be sent behind the BEGIN before
 * its answer: after a refusal the statement would run outside any transaction.
 *
 * @param waitMs time to wait for a connection
 * @param prepare commands that bring the connection to the session's state, given its contents
 * @returns undefined when the primary could not be used; what was learned is recorded
 */
export const beginAtLeader = async (
    service: ServiceRuntime,
    rank: number,
    waitMs: number,
    prepare: readonly InstanceCommand[] | ((lease: ConnectionLease) => readonly InstanceCommand[]),
    ports: RunnerPorts,
): Promise<BegunTransaction | undefined> => {
    const instance = service.leader;
    const lease = await instance?.pool.acquire(rank, waitMs);
    if (instance === undefined || lease === undefined) {
        return undefined;
    }
    const commands = typeof prepare === "function" ? prepare(lease) : prepare;
    const askedAtMs = ports.nowMs();
    const suspensions = ports.checkSuspended();
    const reply = await within(sendAligned(lease, commands, { kind: CommandKind.Begin }), BEGIN_TIMEOUT_MS);
    if (reply?.code === ResultCode.Ok) {
        recordLeaderPosition(service, instance.entry.id, reply, askedAtMs, suspensions, ports);
        return { lease, instance };
    }
    if (reply === undefined) {
        ports.onSuspect(service.name, instance.entry.id, Evidence.Silent);
        lease.discard("no answer to BEGIN in time");
    }
    else if (reply.code === ResultCode.BackendLost) {
        ports.onSuspect(service.name, instance.entry.id, Evidence.Refused);
    }
    else {
        if (reply.code === ResultCode.NotPrimary) {
            service.denyLeader(instance.entry.id);
        }
        lease.release(reply.status);
    }
    return undefined;
};
