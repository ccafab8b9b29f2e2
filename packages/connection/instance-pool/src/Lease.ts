import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { lostReply } from "@pomeloturn/instance-connection/InstanceConnection";
import type { ConnectionContents } from "@pomeloturn/statement-session/ConnectionContents";
import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { TransactionStatus } from "@pomeloturn/types/Request";

/**
 * A connection in use by one request or transaction. Once it is given back or closed nothing can be sent through it,
 * and it can't be given back again: the connection may serve somebody else by then.
 */
export class Lease {
    private isOver = false;

    private constructor(
        private readonly connection: CommandChannel,
        readonly contents: ConnectionContents,
        /** Time for which the connection had not been used, in milliseconds. */
        readonly idleMs: number,
        private readonly onReleased: (status: TransactionStatus) => void,
    ) {}

    static create(
        connection: CommandChannel,
        contents: ConnectionContents,
        idleMs: number,
        onReleased: (status: TransactionStatus) => void,
    ): Lease {
        return new Lease(connection, contents, idleMs, onReleased);
    }

    /** Commands that have no answer yet. */
    get outstandingCount(): number {
        return this.isOver ? 0 : this.connection.outstandingCount;
    }

    /** Sends commands in one write; see `CommandChannel.send`. */
    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[] {
        return this.isOver
            ? commands.map(() => Promise.resolve(lostReply("the connection was given back")))
            : this.connection.send(commands);
    }

    /** Gives the connection back. @param status state of the connection after its last reply */
    release(status: TransactionStatus): void {
        if (!this.isOver) {
            this.isOver = true;
            this.onReleased(status);
        }
    }

    /** Closes the connection. */
    discard(reason: string): void {
        if (!this.isOver) {
            this.isOver = true;
            this.connection.close(reason);
        }
    }
}
