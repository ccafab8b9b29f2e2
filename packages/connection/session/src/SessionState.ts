import { EMPTY_TOKEN, type SessionToken } from "@pomeloturn/session-token/SessionToken";
import { type ForwardRequest, TransactionStatus } from "@pomeloturn/types/Request";
import type { StatementClass } from "@pomeloturn/types/StatementClass";

/** Attributes that a caller sets for its session or for a single statement. */
export interface StatementAttributes {
    readonly rank?: string;
    readonly readKind?: string;
    /** Key by which the database group of the service is chosen. */
    readonly key?: string;
    /** Idempotency key of a write, which runs at most once under this id. */
    readonly requestId?: string;
}

/** A prepared statement that the caller has defined under a name. */
export interface PreparedStatement {
    readonly statementClass: StatementClass;
    readonly attributes: StatementAttributes;
    /** Parse message that defines the statement as the unnamed one. */
    readonly unnamedParse: Buffer;
}

/** Frontend messages up to and including a Query, Sync or Flush, rewritten for a shared backend connection. */
export interface RequestUnit {
    readonly messages: readonly Buffer[];
    readonly statementClass: StatementClass;
    readonly attributes: StatementAttributes;
    /** For each Parse message in order: whether the session added it. */
    readonly injectedParses: readonly boolean[];
    /** Names of the prepared statements that the unit defines. */
    readonly definedNames: readonly string[];
    /** Whether the unit ends in a Flush, so that its answer has no ReadyForQuery. */
    readonly isFlush: boolean;
}

/** Whether the first or last CommandComplete of an answer belongs to a BEGIN or COMMIT that the session added. */
export interface HiddenTags {
    isFirstHidden: boolean;
    readonly isLastHidden: boolean;
}

/** The request that is being processed. */
export interface CurrentRequest {
    readonly unit: RequestUnit;
    readonly startedAtMs: number;
    readonly deadlineAtMs: number;
    readonly rank: number;
    request: ForwardRequest;
    /** VM that holds the instance and runs the request. */
    vm: string;
    /** Instances that failed to serve the read in earlier attempts. */
    readonly excludedInstances: Set<string>;
    /** Whether a part of the answer was sent to the caller, which rules out a retry. */
    isAnswerRelayed: boolean;
    /** Monotonic time in milliseconds until which the required freshness of the data is proved. */
    freshnessExpiresAtMs: number;
    /** Monotonic time in milliseconds at which the next attempt is due; undefined while an attempt is running. */
    retryAtMs: number | undefined;
    readonly hiddenTags: HiddenTags;
    /** Remaining entries of `unit.injectedParses` whose ParseComplete was not received yet. */
    readonly injectedParses: boolean[];
}

/** The open transaction of a session. */
export interface OpenTransaction {
    readonly id: string;
    readonly group: string;
    readonly instance: string;
    readonly vm: string;
    readonly term: number;
    /** Whether the session opened it for a Flush, so that it ends at the caller's Sync. */
    readonly isImplicit: boolean;
    /** Whether the transaction was rolled back but not yet ended by the caller. */
    isLost: boolean;
}

/** A request that ended before its last answer part. A transaction that it opened has to be ended. */
export interface AbandonedRequest {
    readonly vm: string;
    readonly group: string;
    readonly instance: string;
    readonly transactionId: string;
}

/** A caller's session on this proxy. */
export interface SessionState {
    readonly sessionId: string;
    readonly service: string;
    attributes: StatementAttributes;
    /** Written positions that every read must see. */
    token: SessionToken;
    /** Prepared statements by name. */
    readonly preparedStatements: Map<string, PreparedStatement>;
    /** Messages of the unit that is not complete yet. */
    incompleteUnit: Buffer[];
    /** Whether messages are skipped until the next Sync, after an error. */
    isSkippingToSync: boolean;
    /** Messages of the complete units that were not started yet, oldest first. */
    readonly queuedUnits: Buffer[][];
    current: CurrentRequest | undefined;
    /** Abandoned requests by request id. */
    readonly abandonedRequests: Map<number, AbandonedRequest>;
    /** Monotonic time in milliseconds of the last acknowledged write of this session on this VM, by group. */
    readonly lastWriteAtMs: Map<string, number>;
    transaction: OpenTransaction | undefined;
    status: TransactionStatus;
    nextTransactionNumber: number;
    /** Whether the session ends as soon as it is idle. */
    isDraining: boolean;
    /** Whether the caller was notified of the end of the session; further messages are ignored. */
    isEnded: boolean;
    /** Whether the caller connection is closed. */
    isClosed: boolean;
}

/** Creates a session. @param token token that the caller presented; undefined if the caller's earlier writes are unknown */
export const createSession = (
    sessionId: string,
    service: string,
    token: SessionToken | undefined,
    attributes: StatementAttributes,
): SessionState => ({
    sessionId,
    service,
    attributes,
    token: token ?? { ...EMPTY_TOKEN, isComplete: false },
    preparedStatements: new Map(),
    incompleteUnit: [],
    isSkippingToSync: false,
    queuedUnits: [],
    current: undefined,
    abandonedRequests: new Map(),
    lastWriteAtMs: new Map(),
    transaction: undefined,
    status: TransactionStatus.Idle,
    nextTransactionNumber: 1,
    isDraining: false,
    isEnded: false,
    isClosed: false,
});
