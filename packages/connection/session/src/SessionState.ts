import type { SessionToken } from "@pomeloturn/session-token/SessionToken";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
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
    /** Set when the transaction was lost; the caller has yet to end it. */
    isLost: boolean;
}

/** A caller's session on this proxy. */
export interface SessionState {
    readonly sessionId: string;
    readonly service: string;
    attributes: StatementAttributes;
    /** Positions that every read must cover. */
    positions: Map<string, LogPosition>;
    /** Whether groups without a position are known to hold no write of the session. */
    isPastKnown: boolean;
    readonly statements: Map<string, PreparedStatement>;
    /** Messages of a unit that is not complete. */
    collecting: Buffer[];
    /** Complete units, oldest first. */
    readonly waiting: Buffer[][];
    current: CurrentRequest | undefined;
    transaction: OpenTransaction | undefined;
    status: TransactionStatus;
    nextRequestNumber: number;
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
    positions: new Map(token ?? []),
    isPastKnown: token !== undefined,
    statements: new Map(),
    collecting: [],
    waiting: [],
    current: undefined,
    transaction: undefined,
    status: TransactionStatus.Idle,
    nextRequestNumber: 1,
});
