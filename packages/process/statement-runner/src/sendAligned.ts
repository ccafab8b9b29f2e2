import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";

/**
 * Sends a command behind those that bring the connection to the session's state, in one write. A connection that
 * refuses one of these is in an unknown state and is closed.
 *
 * @returns the reply to the command itself
 */
export const sendAligned = (
    lease: ConnectionLease,
    alignment: readonly InstanceCommand[],
    command: InstanceCommand,
): Promise<InstanceReply> => {
    const replies = lease.send([...alignment, command]);
    for (const reply of replies.slice(0, -1)) {
        void reply.then(({ code, text }) => {
            if (code !== ResultCode.Ok) {
                lease.discard(`the session's state was refused: ${text}`);
            }
        });
    }
    return replies.at(-1)!;
};
