/** What a caller sends and gets, independent of the protocol. */

import type { TransactionStatus } from "./Request.ts";
import type { Statement } from "./Statement.ts";

/** Constants for `CallerMessage.kind`. */
export const CallerMessageKind = {
    Startup: "startup",
    Statement: "statement",
    Terminate: "terminate",
    Malformed: "malformed",
} as const;

/** One message of a caller. */
export type CallerMessage =
    | { readonly kind: typeof CallerMessageKind.Startup; readonly database: string; }
    | { readonly kind: typeof CallerMessageKind.Statement; readonly statement: Statement; }
    | { readonly kind: typeof CallerMessageKind.Terminate; }
    | { readonly kind: typeof CallerMessageKind.Malformed; };

/** The whole answer to a statement. */
export interface CallerReply {
    /** `ResultCode.Ok` or a numbered error. */
    readonly code: number;
    readonly rows: readonly string[];
    /** The instance's proof that it ran the statement; empty when the proxy answered by itself. */
    readonly proof: string;
    /** Detail of an error. */
    readonly detail: string;
    /** When a request that did not run may come back; undefined when that is not known. */
    readonly retryAfterMs: number | undefined;
    readonly status: TransactionStatus;
}
