import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { ConnectionState } from "@pomeloturn/statement-session/ConnectionState";

/** A connection of a pool. */
export interface PooledConnection {
    readonly connection: CommandChannel;
    readonly connectionState: ConnectionState;
    /** Identity that the instance was told at start-up. Only requests of this identity use the connection. */
    readonly identity: string;
    lastUsedAtMs: number;
    /** Monotonic time at which the opening or the present use began, in milliseconds. */
    leasedAtMs: number;
    /** Rank of the request that uses the connection. */
    rank: number;
    isBusy: boolean;
}
