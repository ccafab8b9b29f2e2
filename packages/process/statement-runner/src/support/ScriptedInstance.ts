import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";

/** How an instance answers a statement. */
export interface ScriptedAnswer {
    readonly code?: number;
    readonly delayMs?: number;
}

const ANSWER_MS = 2;

/** Stand-in of an instance that records the callers' statements and answers each one as the test states. */
export class ScriptedInstance {
    /** Ids of the callers' statements, in order of arrival. */
    readonly statementIds: string[] = [];
    rollbackCount = 0;
    /** Number of the next BEGINs that are refused as overloaded. */
    refusedBeginCount = 0;
    /** Answer to a statement. @param count number of statements with this id that have arrived */
    answerStatement: (id: string, count: number) => ScriptedAnswer = () => ({});

    /** Opens a connection. */
    readonly open = (): CommandChannel => {
        let status: TransactionStatus = TransactionStatus.Idle;
        const send = async (command: InstanceCommand): Promise<InstanceReply> => {
            status = this.receive(command, status);
            const stated = status;
            const { code = ResultCode.Ok, delayMs = ANSWER_MS } = this.chooseAnswer(command);
            await new Promise(resolve => setTimeout(resolve, delayMs));
            return { code, rows: [], proof: "proof", text: "", status: stated, position: { term: 1, position: 1 } };
        };
        return {
            startupReply: send({ kind: CommandKind.Reset }),
            isClosed: false,
            outstandingReplyCount: 0,
            send: commands => commands.map(send),
            close: () => {},
        };
    };

    private receive(command: InstanceCommand, status: TransactionStatus): TransactionStatus {
        if (command.kind === CommandKind.Begin) {
            return TransactionStatus.Open;
        }
        if (command.kind === CommandKind.Rollback) {
            this.rollbackCount++;
            return TransactionStatus.Idle;
        }
        if (command.kind === CommandKind.Forward) {
            this.statementIds.push(command.statement.id);
            return command.statement.kind === "commit" ? TransactionStatus.Idle : status;
        }
        return status;
    }

    private chooseAnswer(command: InstanceCommand): ScriptedAnswer {
        if (command.kind === CommandKind.Begin && this.refusedBeginCount > 0) {
            this.refusedBeginCount--;
            return { code: ResultCode.QueueFull };
        }
        if (command.kind !== CommandKind.Forward) {
            return {};
        }
        const { id } = command.statement;
        return this.answerStatement(id, this.statementIds.filter(each => each === id).length);
    }
}
