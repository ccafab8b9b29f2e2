import { EMPTY_TOKEN, type SessionToken } from "@pomeloturn/session-token/SessionToken";
import { type ForwardRequest, TransactionStatus } from "@pomeloturn/types/Request";
import type { StatementClass } from "@pomeloturn/types/StatementClass";

/** Attributes that a caller sets for its session or a single statement. */
export interface StatementAttributes {
    readonly rank?: string;
    readonly readKind?: string;
    /** Chooses the group of the service. */
    readonly key?: string;
    /** Makes a write repeatable: it runs at most once under this id. */
    readonly requestId?: string;
}

/** A prepared statement as the caller knows it. */
export interface PreparedStatement {
    readonly statementClass: StatementClass;
    readonly attributes: StatementAttributes;
    /** Parse of the unnamed statement. */
    readonly unnamedParse: Buffer;
}

/** What a unit of frontend messages, up to a Query, Sync or Flush, amounts to. */
export interface RequestUnit {
    readonly messages: readonly Buffer[];
    readonly statementClass: StatementClass;
    readonly attributes: StatementAttributes;
    /** For each Parse that is sent, in order: whether the caller did not ask for it. */
    readonly injectedParses: readonly boolean[];
    /** Names of the prepared statements that the unit defines. */
    readonly definedNames: readonly string[];
    /** Whether the unit ends in a Flush: its answer has no ReadyForQuery. */
    readonly isFlush: boolean;
}

/** CommandCompletes of the BEGIN or COMMIT that the session added around a unit. */
export interface HiddenTags {
    isFirstHidden: boolean;
    readonly isLastHidden: boolean;
}

/** The request that is under way. */
export interface CurrentRequest {
    readonly unit: RequestUnit;
    readonly startedAtMs: number;
    readonly deadlineAtMs: number;
    readonly rank: number;
    request: ForwardRequest;
    vm: string;
    /** Instances that were tried and could not serve the read. */
    readonly excluded: Set<string>;
    isAnswerRelayed: boolean;
    /** Monotonic time until which the data's age is proved. */
    freshUntilMs: number;
    /** Monotonic time at which the next attempt is sent; undefined while one is under way. */
    retryAtMs: number | undefined;
    readonly hiddenTags: HiddenTags;
    /** Injected parses whose ParseComplete has not come yet. */
    readonly injectedParses: boolean[];
}

/** The transaction that the session has open. */
export interface OpenTransaction {
    readonly id: string;
    readonly group: string;
    readonly instance: string;
    readonly vm: string;
    readonly term: number;
    /** Whether the session opened it for a Flush; it ends at the caller's Sync. */
    readonly isImplicit: boolean;
    /** Set when the transaction was lost; the caller has yet to end it. */
    isLost: boolean;
}

/** A request that was given up before its last answer. If it opened a transaction, that has to be ended. */
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
    /** What every read must cover. */
    token: SessionToken;
    readonly statements: Map<string, PreparedStatement>;
    /** Messages of a unit that is not complete. */
    collecting: Buffer[];
    /** Whether messages are passed over until the next Sync, after an error. */
    isSkipping: boolean;
    /** Complete units, oldest first. */
    readonly waiting: Buffer[][];
    current: CurrentRequest | undefined;
    /** By request id. */
    readonly abandoned: Map<number, AbandonedRequest>;
    /** Monotonic time at which this session's last write to a group was acknowledged here, in milliseconds. */
    readonly writtenAtMs: Map<string, number>;
    transaction: OpenTransaction | undefined;
    status: TransactionStatus;
    nextRequestNumber: number;
    /** Whether the caller has gone. */
    isClosed: boolean;
}

/** @param token what the caller presented; undefined when its past is not known */
export const createSession = (
    sessionId: string,
    service: string,
    token: SessionToken | undefined,
    attributes: StatementAttributes,
): SessionState => ({
    sessionId,
    service,
    attributes,
    token: token ?? { ...EMPTY_TOKEN, isPastKnown: false },
    statements: new Map(),
    collecting: [],
    isSkipping: false,
    waiting: [],
    current: undefined,
    abandoned: new Map(),
    writtenAtMs: new Map(),
    transaction: undefined,
    status: TransactionStatus.Idle,
    nextRequestNumber: 1,
    isClosed: false,
});
