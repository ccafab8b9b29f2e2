import { withTimeout } from "@pomeloturn/clock/withTimeout";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { ROLLBACK_TIMEOUT_MS } from "./timing.ts";

/** Releases a connection once the instance has confirmed the rollback; discards it otherwise, or without an answer in time. */
export const releaseAfterRollback = async (lease: ConnectionLease, pendingReply: Promise<InstanceReply>): Promise<void> => {
    const reply = await withTimeout(pendingReply, ROLLBACK_TIMEOUT_MS);
    if (reply?.code === ResultCode.Ok) {
        lease.release(reply.status);
    }
    else {
        const reason = reply === undefined ? `within ${ROLLBACK_TIMEOUT_MS} ms` : `(result ${reply.code})`;
        lease.discard(`the instance did not confirm the rollback ${reason}`);
    }
};

/** Rolls back the transaction on a connection; see `releaseAfterRollback`. */
export const rollBack = async (lease: ConnectionLease): Promise<void> => {
    const [reply] = lease.send([{ kind: CommandKind.Rollback }]);
    await releaseAfterRollback(lease, reply!);
};
