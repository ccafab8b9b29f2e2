/** A request as it travels from the entry proxy to the holder of an instance, and its answer. */

import type { LogPosition } from "./LogPosition.ts";

/** Constants for what the holder must prove before it relays an answer. */
export const RequestMode = {
    /** A read on a replica: the replayed position must cover `requiredPosition`. */
    ReplicaRead: 0,
    /** A read that relies on being at the primary: the lease must hold. */
    PrimaryRead: 1,
    /** A write or the first step of a transaction: the lease must hold and the term must match. */
    PrimaryWrite: 2,
    /** A later step of a transaction: as a write, and only on the connection that the transaction has. */
    TransactionStep: 3,
} as const;
export type RequestMode = typeof RequestMode[keyof typeof RequestMode];

/** Frontend messages that end in a Query, Sync or Flush, with what the holder needs to run them. */
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
    /** Term that the entry believes in; 0 when any term will do. */
    readonly term: number;
    /** Position that the data must cover; term 0 when any will do. */
    readonly requiredPosition: LogPosition;
    /** Largest provable age of the data in milliseconds; 0 when any will do. */
    readonly maximumAgeMs: number;
    /** Non-empty inside a transaction: the same value for all its requests. */
    readonly transactionId: string;
    /** Non-empty when the write is recorded under the caller's request id and may be repeated. */
    readonly idempotencyKey: string;
    readonly messages: Uint8Array;
}

/** Constants for the state of a backend connection after an answer, from ReadyForQuery. */
export const TransactionStatus = {
    Idle: "I",
    Open: "T",
    Failed: "E",
} as const;
export type TransactionStatus = typeof TransactionStatus[keyof typeof TransactionStatus];

/** A part of an answer. The last part carries the outcome. */
export interface AnswerPart {
    readonly requestId: number;
    readonly attempt: number;
    /** Backend messages to relay, without the closing ReadyForQuery. */
    readonly messages: Uint8Array;
    readonly isLast: boolean;
    /** Number of the result; 0 is success. Meaningful in the last part. */
    readonly resultCode: number;
    readonly transactionStatus: TransactionStatus;
    /** Position that a session must see from now on; term 0 when the request wrote nothing. */
    readonly position: LogPosition;
    /** Time spent at the backend server, in microseconds. */
    readonly serviceTimeUs: number;
    /** To be called once a part that is not the last has been taken by the caller's socket, so that more is read. */
    readonly onRelayed?: () => void;
}

/** Where requests go: the local holder or a peer's. */
export interface RequestTarget {
    /** @param sender VM that the request comes from, when it is not this one */
    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender?: string): void;
    /** Refuses the request if it still waits, and asks the backend server to cancel it if it runs. */
    cancel(requestId: number, sender?: string): void;
    /** Closes the backend connection of a transaction whose caller has gone. */
    endTransaction(group: string, instance: string, transactionId: string): void;
}
