import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Lease } from "@pomeloturn/instance-pool/Lease";
import { CommandKind } from "@pomeloturn/types/InstanceCommand";

/** Ends the transaction on a connection and gives it back once the instance has confirmed. */
export const rollBack = async (lease: Lease): Promise<void> => {
    const [reply] = lease.send([{ kind: CommandKind.Rollback }]);
    const { code, status } = await reply!;
    if (code === ResultCode.Ok) {
        lease.release(status);
    }
    else {
        lease.discard("rollback refused");
    }
};
