import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { OpeningPacing } from "./OpeningPacing.ts";

/** Clock, connection factory and callbacks of a pool. */
export interface PoolPorts {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Opens a connection under a caller identity. */
    readonly open: (onClosed: (reason: string, isRemote: boolean) => void, identity: string) => CommandChannel;
    /** Called for each connection that could not be opened, except when the instance has no connections left. */
    readonly onOpenFailed: (reply: InstanceReply) => void;
    /** Called for each open connection that the instance or the network closed. */
    readonly onLost: (reason: string) => void;
    /** Pacing of the openings by the instance's answers, which replaces the pool's backoff; undefined where it is off. */
    readonly pacing?: OpeningPacing | undefined;
}
