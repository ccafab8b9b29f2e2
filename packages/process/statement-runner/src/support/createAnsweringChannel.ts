import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";

const statusAfter: Readonly<Partial<Record<CommandKind, TransactionStatus>>> = {
    [CommandKind.Begin]: TransactionStatus.Open,
    [CommandKind.BeginRead]: TransactionStatus.Open,
    [CommandKind.Rollback]: TransactionStatus.Idle,
};

/**
 * Opens a connection to an instance that answers each command with success.
 *
 * @param beforeAnswer called with each command; its answer follows when the promise resolves, with these rows
 */
export const createAnsweringChannel = (beforeAnswer: (command: InstanceCommand) => Promise<readonly string[]>): CommandChannel => {
    let status: TransactionStatus = TransactionStatus.Idle;
    const answer = async (command: InstanceCommand): Promise<InstanceReply> => {
        status = statusAfter[command.kind] ?? status;
        const rows = await beforeAnswer(command);
        if (command.kind === CommandKind.Forward && command.statement.kind === "commit") {
            status = TransactionStatus.Idle;
        }
        return { code: ResultCode.Ok, rows, proof: "proof", text: "", status, position: { term: 1, position: 1 } };
    };
    return {
        startupReply: answer({ kind: CommandKind.Reset }),
        isClosed: false,
        outstandingReplyCount: 0,
        send: commands => commands.map(answer),
        close: () => {},
    };
};
