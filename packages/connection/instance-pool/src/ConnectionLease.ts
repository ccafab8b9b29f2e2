import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { createLostReply } from "@pomeloturn/instance-connection/InstanceConnection";
import type { ConnectionState } from "@pomeloturn/statement-session/ConnectionState";
import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { TransactionStatus } from "@pomeloturn/types/Request";

/**
 * Exclusive use of a pooled connection by one request or transaction. After `release` or `discard` the lease sends
 * nothing and ignores further calls, because the connection may already serve another request.
 */
export class ConnectionLease {
    private hasEnded = false;

    private constructor(
        private readonly connection: CommandChannel,
        readonly connectionState: ConnectionState,
        /** Time for which the connection had been idle before this lease, in milliseconds. */
        readonly idleMs: number,
        private readonly onReleased: (status: TransactionStatus) => void,
    ) {}

    static create(
        connection: CommandChannel,
        connectionState: ConnectionState,
        idleMs: number,
        onReleased: (status: TransactionStatus) => void,
    ): ConnectionLease {
        return new ConnectionLease(connection, connectionState, idleMs, onReleased);
    }

    /** Number of replies that are outstanding; 0 after the lease has ended. */
    get outstandingReplyCount(): number {
        return this.hasEnded ? 0 : this.connection.outstandingReplyCount;
    }

    /** Sends commands in one write; see `CommandChannel.send`. */
    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[] {
        return this.hasEnded
            ? commands.map(() => Promise.resolve(createLostReply("the connection was already released or closed")))
            : this.connection.send(commands);
    }

    /** Returns the connection to the pool. @param status transaction status after the last reply */
    release(status: TransactionStatus): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            this.onReleased(status);
        }
    }

    /** Closes the connection instead of returning it to the pool. */
    discard(reason: string): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            this.connection.close(reason);
        }
    }
}
