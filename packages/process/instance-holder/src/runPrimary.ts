import { RequestMode } from "@pomeloturn/types/Request";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readFirstColumn } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { countSteps } from "./callerMessages.ts";
import type { RunContext } from "./RunContext.ts";

/** Asks for the position that a session must see after its write. */
export const WRITTEN_POSITION_QUERY = serialize.query("SELECT pg_current_wal_insert_lsn()");

/** The position in a DataRow; 0 when the message is none. */
export const readPosition = (message: Buffer): number =>
    message[0] === BackendType.DataRow ? parseLogSequenceNumber(readFirstColumn(message) ?? "") ?? 0 : 0;

/** Runs the caller's messages at the primary, and for a write asks for its position in the same round trip. */
export const runPrimary = (context: RunContext): void => {
    const { request, relay } = context;
    const mainStepCount = countSteps(request.messages);
    const queries: Buffer[] = [Buffer.from(request.messages)];
    if (request.mode !== RequestMode.PrimaryRead) {
        queries.push(WRITTEN_POSITION_QUERY);
    }
    let position = 0;
    context.send(queries, mainStepCount + queries.length - 1, {
        onMessage: (message, step) => {
            if (step < mainStepCount) {
                relay.receive(message);
            }
            else {
                position ||= readPosition(message);
            }
        },
        onDone: () => context.finish(position),
    });
};
