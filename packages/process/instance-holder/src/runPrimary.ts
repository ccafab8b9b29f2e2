import { RequestMode } from "@pomeloturn/types/Request";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readFirstColumn } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { countSteps } from "./callerMessages.ts";
import type { RunContext } from "./RunContext.ts";

/** Queries the position that later reads of the session have to cover after its write. */
export const WRITTEN_POSITION_QUERY = serialize.query("SELECT pg_current_wal_insert_lsn()");

/** Returns the position in a DataRow message; 0 for other messages. */
export const readPosition = (message: Buffer): number =>
    message[0] === BackendType.DataRow ? parseLogSequenceNumber(readFirstColumn(message) ?? "") ?? 0 : 0;

/** Runs the caller's messages at the primary. Unless the request is a read, queries the written position in the same round trip. */
export const runPrimary = (context: RunContext): void => {
    const { request, relay } = context;
    const callerStepCount = countSteps(request.messages);
    const queries: Buffer[] = [Buffer.from(request.messages)];
    if (request.mode !== RequestMode.PrimaryRead) {
        queries.push(WRITTEN_POSITION_QUERY);
    }
    let position = 0;
    context.send(queries, callerStepCount + queries.length - 1, {
        onMessage: (message, step) => {
            if (step < callerStepCount) {
                relay.receive(message);
            }
            else {
                position ||= readPosition(message);
            }
        },
        onDone: () => context.finish(position),
    });
};
