/** Requests that an entry proxy forwards to the holder of an instance, and their answers. */

import type { LogPosition } from "./LogPosition.ts";

/** What the holder must verify before it relays the answer to a request. */
export const RequestMode = {
    /** A read on a replica: the replayed position must cover `requiredPosition`. */
    ReplicaRead: 0,
    /** A read that must be served by the primary: the lease must be valid. */
    PrimaryRead: 1,
    /** A write or the first step of a transaction: the lease must be valid and the term must match. */
    PrimaryWrite: 2,
    /** A later step of a transaction: as `PrimaryWrite`, and it runs only on the transaction's own connection. */
    TransactionStep: 3,
} as const;
export type RequestMode = typeof RequestMode[keyof typeof RequestMode];

/** Frontend messages up to and including a Query, Sync or Flush, with what the holder needs to run them. */
export interface ForwardRequest {
    /** Unique within the entry proxy's process. */
    readonly requestId: number;
    readonly attempt: number;
    readonly service: string;
    readonly group: string;
    readonly instance: string;
    /** Index into the service's ranks; 0 is the most urgent. */
    readonly rank: number;
    readonly mode: RequestMode;
    /** Time left until the caller's deadline, in milliseconds from the moment of sending. */
    readonly deadlineLeftMs: number;
    /** Term that the entry proxy knows for the group; 0 accepts any term. */
    readonly term: number;
    /** Position that the data must cover; term 0 accepts any position. */
    readonly requiredPosition: LogPosition;
    /** Largest accepted age of the data in milliseconds, which the holder must prove; 0 accepts any age. */
    readonly maximumAgeMs: number;
    /** Same value for all requests of a transaction; empty outside a transaction. */
    readonly transactionId: string;
    /** Key under which the write is recorded for the caller's request id, so that it may be retried; empty when it is not recorded. */
    readonly idempotencyKey: string;
    readonly messages: Uint8Array;
}

/** Transaction status of a backend connection after an answer, as ReadyForQuery reports it. */
export const TransactionStatus = {
    Idle: "I",
    Open: "T",
    Failed: "E",
} as const;
export type TransactionStatus = typeof TransactionStatus[keyof typeof TransactionStatus];

/** Part of a streamed answer. The last part carries the outcome. */
export interface AnswerPart {
    readonly requestId: number;
    readonly attempt: number;
    /** Backend messages to relay, without the closing ReadyForQuery. */
    readonly messages: Uint8Array;
    readonly isLast: boolean;
    /** `ResultCode` of the request; 0 is success. Meaningful only in the last part. */
    readonly resultCode: number;
    readonly transactionStatus: TransactionStatus;
    /** Position that later reads of the session must cover; term 0 when the request wrote nothing. */
    readonly position: LogPosition;
    /** Time spent at the backend server, in microseconds. */
    readonly serviceTimeUs: number;
    /** Confirms that the caller's socket has accepted this part, so that more of the answer is read. Not used in the last part. */
    readonly onRelayed?: () => void;
}

/** Destination of forwarded requests: the holder on this VM or the one on a peer VM. */
export interface RequestTarget {
    /**
     * Sends a request; `onPart` receives each part of its answer in order.
     *
     * @param sender VM that the request comes from; undefined for this VM
     */
    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender?: string): void;
    /** Refuses the request if it is still queued; if it is running, asks the backend server to cancel it. */
    cancel(requestId: number, sender?: string): void;
    /** Closes the backend connection of a transaction whose caller has disconnected. */
    endTransaction(group: string, instance: string, transactionId: string): void;
}

/** Time beyond a statement's limit for a caller to read an answer that has begun to arrive. Bounds how long a slow reader keeps a slot. */
export const DELIVERY_LIMIT_MS = 30_000;
