/** Messages between a caller and the proxy, independent of the wire protocol. */

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
    | { readonly kind: typeof CallerMessageKind.Startup; readonly database: string; readonly key: string; }
    | { readonly kind: typeof CallerMessageKind.Statement; readonly statement: Statement; }
    | { readonly kind: typeof CallerMessageKind.Terminate; }
    | { readonly kind: typeof CallerMessageKind.Malformed; };

/** Complete answer to a statement. */
export interface CallerReply {
    /** `ResultCode.Ok`, or the result code of an error. */
    readonly code: number;
    readonly rows: readonly string[];
    /** Proof from the instance that it ran the statement; empty when the proxy answered without an instance. */
    readonly proof: string;
    /** Detail of an error; empty on success. */
    readonly detail: string;
    /** Milliseconds after which a request that did not run may be retried; undefined when not known. */
    readonly retryAfterMs: number | undefined;
    readonly status: TransactionStatus;
}
