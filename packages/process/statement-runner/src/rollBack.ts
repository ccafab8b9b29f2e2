import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { CommandKind } from "@pomeloturn/types/InstanceCommand";

/** Ends the transaction on a connection and gives it back once the instance has confirmed. */
export const rollBack = async (lease: ConnectionLease): Promise<void> => {
    const [reply] = lease.send([{ kind: CommandKind.Rollback }]);
    const { code, status } = await reply!;
    if (code === ResultCode.Ok) {
        lease.release(status);
    }
    else {
        lease.discard("rollback refused");
    }
};
