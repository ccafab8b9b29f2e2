/** What the proxy sends to an instance, and what the instance answers, independent of the protocol. */

import type { LogPosition } from "./LogPosition.ts";
import type { TransactionStatus } from "./Request.ts";
import type { Statement } from "./Statement.ts";

/** Constants for `InstanceCommand.kind`. */
export const CommandKind = {
    /** A caller's statement, unchanged; a prepared one under the name that it has on the connection. */
    Forward: "forward",
    Begin: "begin",
    BeginRead: "beginRead",
    Rollback: "rollback",
    /** Clears the session values and prepared statements of the connection. */
    Reset: "reset",
    Set: "set",
    Prepare: "prepare",
    /** Asks for the instance's role and position. */
    Status: "status",
    /** Makes a primary of a lower term a replica. */
    StepDown: "stepDown",
} as const;
export type CommandKind = typeof CommandKind[keyof typeof CommandKind];

/** One command on a connection to an instance. */
export type InstanceCommand =
    | {
        readonly kind: typeof CommandKind.Forward;
        readonly statement: Statement;
        /** Name of the prepared statement on this connection; empty unless the statement executes one. */
        readonly preparedName: string;
        /** Position that the instance's log must hold; undefined when any will do. */
        readonly after: LogPosition | undefined;
    }
    | { readonly kind: typeof CommandKind.BeginRead; readonly after: LogPosition | undefined; }
    | { readonly kind: typeof CommandKind.Set; readonly name: string; readonly value: string; }
    | { readonly kind: typeof CommandKind.Prepare; readonly name: string; readonly isWrite: boolean; readonly shape: string; }
    | { readonly kind: typeof CommandKind.StepDown; readonly term: number; }
    | { readonly kind: typeof CommandKind.Begin; }
    | { readonly kind: typeof CommandKind.Rollback; }
    | { readonly kind: typeof CommandKind.Reset; }
    | { readonly kind: typeof CommandKind.Status; };

/** Answer of an instance to one command. */
export interface InstanceReply {
    /** `ResultCode.Ok`, or what the instance refused or failed with; `BackendLost` when no whole answer came. */
    readonly code: number;
    readonly rows: readonly string[];
    /** The instance's proof that it ran the statement; empty for errors. */
    readonly proof: string;
    /** Text of an error; empty on success. */
    readonly text: string;
    readonly status: TransactionStatus;
    /** Position of the instance's log; undefined when the answer states none. */
    readonly position: LogPosition | undefined;
}

/** State of an instance of a database group, as it reports it. */
export interface InstanceState {
    readonly isPrimary: boolean;
    readonly term: number;
    readonly received: LogPosition;
}
