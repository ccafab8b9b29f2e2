import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { BackendType, HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { readCString, readFirstColumn, readSqlState } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { countSteps } from "./callerMessages.ts";
import { buildRecordInsert, buildRecordSelect, buildRecordUpdate, fingerprintRequest, readRecord } from "./requestRecord.ts";
import type { RunContext } from "./RunContext.ts";
import { readPosition, WRITTEN_POSITION_QUERY } from "./runPrimary.ts";

const BEGIN = serialize.query("BEGIN");
const COMMIT = serialize.query("COMMIT");
const ROLLBACK = serialize.query("ROLLBACK");

const UNIQUE_VIOLATION_SQL_STATE = "23505";
/** Errors for a missing table, missing privileges on it, and a read-only instance. */
const SCHEMA_SQL_STATES: ReadonlySet<string> = new Set(["42P01", "42501", "25006"]);

/**
 * Runs an autocommit write in one transaction with its record. The answer is known only after the statement,
 * so it is added to the record in a second round trip, together with the COMMIT. When the record already
 * exists, its insertion fails and the database does not run the statement.
 */
export const runRecordedWrite = (context: RunContext): void => {
    const { request, relay } = context;
    let recordError: Buffer | undefined;
    context.send([BEGIN, buildRecordInsert(request), Buffer.from(request.messages)], countSteps(request.messages) + 2, {
        onMessage: (message, step) => {
            if (step === 1 && message[0] === BackendType.ErrorResponse) {
                recordError = message;
            }
            else if (step > 1) {
                relay.receive(message);
            }
        },
        onDone: () => {
            if (recordError !== undefined) {
                handleRecordError(context, recordError, false);
            }
            else if (relay.status !== TransactionStatus.Open) {
                rollBack(context, () => context.finish(0));
            }
            else if (relay.isAcknowledgeable()) {
                commit(context);
            }
            else {
                rollBack(context, () => context.fail(ResultCode.LeaseLapsedBeforeSend));
            }
        },
    });
};

/** Runs a step of the caller's transaction together with its record, which is committed by the caller's COMMIT. */
export const runRecordedStep = (context: RunContext): void => {
    const { request, relay } = context;
    let recordError: Buffer | undefined;
    context.send([buildRecordInsert(request), Buffer.from(request.messages)], countSteps(request.messages) + 1, {
        onMessage: (message, step) => {
            if (step === 0 && message[0] === BackendType.ErrorResponse) {
                recordError = message;
            }
            else if (step > 0) {
                relay.receive(message);
            }
        },
        onDone: () => {
            if (recordError === undefined) {
                context.finish(0);
            }
            else {
                handleRecordError(context, recordError, true);
            }
        },
    });
};

const commit = (context: RunContext): void => {
    const { request, relay } = context;
    const answer = relay.hasRelayedPart ? undefined : relay.bufferedMessages;
    let commitTag = "";
    let position = 0;
    context.send([buildRecordUpdate(request, answer), COMMIT, WRITTEN_POSITION_QUERY], 3, {
        onMessage: (message, step) => {
            if (step === 1 && message[0] === BackendType.CommandComplete) {
                commitTag = readCString(message, HEADER_SIZE_BYTES).text;
            }
            else if (step === 1 && message[0] === BackendType.ErrorResponse) {
                relay.replace(message);
            }
            position ||= step === 2 ? readPosition(message) : 0;
        },
        onDone: () => {
            relay.status = TransactionStatus.Idle;
            if (commitTag === "ROLLBACK") {
                context.fail(ResultCode.TransactionLost);
            }
            else {
                context.finish(position);
            }
        },
    });
};

const handleRecordError = (context: RunContext, error: Buffer, isStep: boolean): void => {
    const sqlState = readSqlState(error) ?? "";
    if (sqlState === UNIQUE_VIOLATION_SQL_STATE) {
        answerFromRecord(context, isStep);
        return;
    }
    rollBack(context, () => {
        if (SCHEMA_SQL_STATES.has(sqlState)) {
            context.fail(ResultCode.SchemaMissing);
        }
        else {
            context.relay.replace(error);
            context.finish(0);
        }
    });
};

const rollBack = (context: RunContext, next: () => void): void => {
    context.send([ROLLBACK], 1, {
        onMessage: () => undefined,
        onDone: () => {
            context.relay.status = TransactionStatus.Idle;
            next();
        },
    });
};

/** Answers with the recorded result of the first request that had the same request id. */
const answerFromRecord = (context: RunContext, isStep: boolean): void => {
    const { request, relay } = context;
    let value: string | undefined;
    let position = 0;
    context.send([ROLLBACK, buildRecordSelect(request), WRITTEN_POSITION_QUERY], 3, {
        onMessage: (message, step) => {
            if (step === 1 && message[0] === BackendType.DataRow) {
                value = readFirstColumn(message);
            }
            position ||= step === 2 ? readPosition(message) : 0;
        },
        onDone: () => {
            relay.status = TransactionStatus.Idle;
            const { code, answer } = evaluateRecord(context, value, isStep);
            if (answer === undefined) {
                context.fail(code);
                return;
            }
            relay.replace(answer);
            context.finish(position);
        },
    });
};

interface RecordEvaluation {
    readonly code: ResultCode;
    /** The recorded answer; undefined when `code` is the result. */
    readonly answer?: Buffer;
}

/** @param value the record; undefined when it has been deleted since, or belonged to the transaction that was just rolled back */
const evaluateRecord = ({ request }: RunContext, value: string | undefined, isStep: boolean): RecordEvaluation => {
    if (value === undefined) {
        return { code: isStep ? ResultCode.RequestIdReused : ResultCode.OutcomeUnknown };
    }
    const { fingerprint, answer } = readRecord(value);
    if (fingerprint !== fingerprintRequest(request)) {
        return { code: ResultCode.RequestIdReused };
    }
    return isStep || answer === undefined ? { code: ResultCode.AlreadyRan } : { code: ResultCode.Ok, answer };
};
