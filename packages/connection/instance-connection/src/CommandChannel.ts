import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";

/** Connection to an instance, which answers commands in the order in which they are sent. */
export interface CommandChannel {
    /** Reply to the start-up message; `BackendLost` if the instance cannot be reached. */
    readonly startupReply: Promise<InstanceReply>;
    readonly isClosed: boolean;
    /** Number of replies that are outstanding, including `startupReply`. */
    readonly outstandingReplyCount: number;
    /** Sends commands in one write. The promises never reject; if a reply is not received, they resolve to `BackendLost`. */
    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[];
    /** Closes the connection. The instance rolls back an open transaction. */
    close(reason: string): void;
}
