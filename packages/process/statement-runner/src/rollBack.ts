import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { CommandKind } from "@pomeloturn/types/InstanceCommand";

/** Rolls back the transaction on a connection and releases it once the instance has confirmed; discards it otherwise. */
export const rollBack = async (lease: ConnectionLease): Promise<void> => {
    const [reply] = lease.send([{ kind: CommandKind.Rollback }]);
    const { code, status } = await reply!;
    if (code === ResultCode.Ok) {
        lease.release(status);
    }
    else {
        lease.discard(`the instance did not confirm the rollback (result ${code})`);
    }
};
