import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";

/** A connection to an instance. Commands are answered in the order in which they were sent. */
export interface CommandChannel {
    /** Answer to the greeting; `BackendLost` when the instance cannot be reached. */
    readonly greeting: Promise<InstanceReply>;
    readonly isClosed: boolean;
    /** Commands that have no answer yet. */
    readonly outstandingCount: number;
    /** Sends commands in one write. The promises never reject; a reply that does not come is `BackendLost`. */
    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[];
    /** Closes the connection; an open transaction is rolled back by the instance. */
    close(reason: string): void;
}
