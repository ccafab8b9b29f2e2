import { formatResult } from "@pomeloturn/errors/PomeloturnError";
import { Effect, type ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import { Writer } from "pg-protocol/dist/buffer-writer.js";
import { BackendType } from "./messageTypes.ts";

const INTERNAL_ERROR_SQL_STATE = "XX000";

/** Values of the severity field of an ErrorResponse. */
export const Severity = {
    Error: "ERROR",
    Fatal: "FATAL",
} as const;
export type Severity = typeof Severity[keyof typeof Severity];

const writer = new Writer();

/**
 * Builds the ErrorResponse of a result code, with the SQLSTATE and effect from the result table.
 *
 * @param detail appended to the message unless empty
 */
export const buildErrorResponse = (code: ResultCode, detail: string, severity: Severity = Severity.Error): Buffer => {
    const description = resultTable.get(code);
    writer.addString("S").addCString(severity);
    writer.addString("V").addCString(severity);
    writer.addString("C").addCString(description?.sqlState ?? INTERNAL_ERROR_SQL_STATE);
    writer.addString("M").addCString(formatResult(code, detail));
    writer.addString("D").addCString(`result=${code} effect=${description?.effect ?? Effect.OutcomeUnknown}`);
    writer.addCString("");
    return Buffer.from(writer.flush(BackendType.ErrorResponse));
};

/** Builds a ReadyForQuery message. @param status transaction status: "I", "T" or "E" */
export const buildReadyForQuery = (status: string): Buffer => Buffer.from(writer.addString(status).flush(BackendType.ReadyForQuery));

/** Builds a ParameterStatus message, which reports the current value of a setting to the caller. */
export const buildParameterStatus = (name: string, value: string): Buffer =>
    Buffer.from(writer.addCString(name).addCString(value).flush(BackendType.ParameterStatus));

/** Builds a BackendKeyData message, whose key a caller needs to cancel a statement. */
export const buildBackendKeyData = (processId: number, secretKey: number): Buffer =>
    Buffer.from(writer.addInt32(processId).addInt32(secretKey).flush(BackendType.BackendKeyData));

/** Builds a CommandComplete message. @param tag command tag, for example "SET" */
export const buildCommandComplete = (tag: string): Buffer => Buffer.from(writer.addCString(tag).flush(BackendType.CommandComplete));

/** Builds an AuthenticationOk message. */
export const buildAuthenticationOk = (): Buffer => Buffer.from(writer.addInt32(0).flush(BackendType.Authentication));

/** Builds a message without a body, such as ParseComplete. */
export const buildEmptyMessage = (type: number): Buffer => Buffer.from(writer.flush(type));

/** Builds the ParameterDescription message of a statement without parameters. */
export const buildParameterDescription = (): Buffer => Buffer.from(writer.addInt16(0).flush(BackendType.ParameterDescription));
