import { Coverage, positionCoverage } from "@pomeloturn/choose-instance/positionCoverage";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readFirstColumn } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { countSteps } from "./callerMessages.ts";
import { MARKED_TERM_SELECT } from "./ensureTermMarker.ts";
import type { RunContext } from "./RunContext.ts";

/** The position is read before the marker, so that a marker replayed in between can only make the position too low. */
const REPLAYED_QUERY = serialize.query(`SELECT pg_last_wal_replay_lsn(); ${MARKED_TERM_SELECT}`);

/** Runs a read on a replica and checks in the same round trip that its data covers the required position. */
export const runReplicaRead = (context: RunContext): void => {
    const { request, relay } = context;
    const firstCallerStep = request.requiredPosition.term === 0 ? 0 : 1;
    const columns: (string | undefined)[] = [];
    let isCovered = true;
    const queries = firstCallerStep === 0 ? [] : [REPLAYED_QUERY];
    context.send([...queries, Buffer.from(request.messages)], countSteps(request.messages) + firstCallerStep, {
        onMessage: (message, step) => {
            if (step < firstCallerStep) {
                if (message[0] === BackendType.DataRow) {
                    columns.push(readFirstColumn(message));
                }
                isCovered = isReplayCovered(context, columns);
            }
            else if (isCovered || message[0] === BackendType.ReadyForQuery) {
                relay.receive(message);
            }
        },
        onDone: () => {
            if (isCovered) {
                context.finish(0);
            }
            else {
                context.fail(ResultCode.ReplicaBehind);
            }
        },
    });
};

/** Whether the replica covers the required position. Not provable without a position (no replica) or a marker (no term replayed). */
const isReplayCovered = ({ request, environment }: RunContext, [position, marker]: readonly (string | undefined)[]): boolean => {
    const replayed = parseLogSequenceNumber(position ?? "");
    const view = environment.groupView();
    if (replayed === undefined || marker === undefined || view === undefined) {
        return false;
    }
    return positionCoverage({ term: Number(marker), position: replayed }, request.requiredPosition, view) === Coverage.Covered;
};
