/** Commands from the proxy to an instance and its replies, independent of the wire protocol. */

import type { LogPosition } from "./LogPosition.ts";
import type { TransactionStatus } from "./Request.ts";
import type { Statement } from "./Statement.ts";

/** Constants for `InstanceCommand.kind`. */
export const CommandKind = {
    /** Runs a caller's statement unchanged, except that a prepared statement goes by its name on this connection. */
    Forward: "forward",
    Begin: "begin",
    BeginRead: "beginRead",
    Rollback: "rollback",
    /** Discards the session settings and prepared statements of the connection. */
    Reset: "reset",
    Set: "set",
    Prepare: "prepare",
    /** Requests the instance's role and position. */
    Status: "status",
    /** Demotes a primary of a lower term to a replica. */
    StepDown: "stepDown",
    /** Stops a replica of a lower term from receiving until `Resume` or a promotion. */
    Pause: "pause",
    Resume: "resume",
} as const;
export type CommandKind = typeof CommandKind[keyof typeof CommandKind];

/** One command on a connection to an instance. */
export type InstanceCommand =
    | {
        readonly kind: typeof CommandKind.Forward;
        readonly statement: Statement;
        /** Name of the prepared statement on this connection; empty unless the statement executes one. */
        readonly preparedName: string;
        /** Position that the instance's log must contain; undefined accepts any position. */
        readonly after: LogPosition | undefined;
    }
    | { readonly kind: typeof CommandKind.BeginRead; readonly after: LogPosition | undefined; }
    | { readonly kind: typeof CommandKind.Set; readonly name: string; readonly value: string; }
    | { readonly kind: typeof CommandKind.Prepare; readonly name: string; readonly isWrite: boolean; readonly shape: string; }
    | { readonly kind: typeof CommandKind.StepDown; readonly term: number; }
    | { readonly kind: typeof CommandKind.Pause; readonly term: number; }
    | { readonly kind: typeof CommandKind.Resume; }
    | { readonly kind: typeof CommandKind.Begin; }
    | { readonly kind: typeof CommandKind.Rollback; }
    | { readonly kind: typeof CommandKind.Reset; }
    | { readonly kind: typeof CommandKind.Status; };

/** Reply of an instance to one command. */
export interface InstanceReply {
    /** `ResultCode.Ok`, or the code of the instance's refusal or failure; `BackendLost` when no complete reply arrived. */
    readonly code: number;
    readonly rows: readonly string[];
    /** Proof from the instance that it ran the statement; empty on error. */
    readonly proof: string;
    /** Text of an error; empty on success. */
    readonly text: string;
    readonly status: TransactionStatus;
    /** Position of the instance's log; undefined when the reply contains none. */
    readonly position: LogPosition | undefined;
}

/** Role and position of an instance, as it reports them. */
export interface InstanceState {
    readonly isPrimary: boolean;
    readonly term: number;
    readonly received: LogPosition;
    /** Term for which the instance was told to stop receiving; at most `term` while it receives. */
    readonly heldTerm: number;
}
