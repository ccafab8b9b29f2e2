import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";

/**
 * Sends the commands that bring the connection to the session's state and the command itself in one write. If the
 * instance refuses one of the former, the state of the connection is unknown and it is closed.
 *
 * @returns the reply to the command itself
 */
export const sendAfterSynchronization = (
    lease: ConnectionLease,
    synchronizationCommands: readonly InstanceCommand[],
    command: InstanceCommand,
): Promise<InstanceReply> => {
    const replies = lease.send([...synchronizationCommands, command]);
    for (const reply of replies.slice(0, -1)) {
        void reply.then(({ code, text }) => {
            if (code !== ResultCode.Ok) {
                lease.discard(`the instance refused to set the session's state (result ${code}): ${text}`);
            }
        });
    }
    return replies.at(-1)!;
};
