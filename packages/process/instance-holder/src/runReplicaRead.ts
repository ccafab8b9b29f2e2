import { Coverage, positionCoverage } from "@pomeloturn/choose-instance/positionCoverage";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readFirstColumn } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { countSteps } from "./callerMessages.ts";
import { MARKED_TERM_SELECT } from "./markTerm.ts";
import type { RunContext } from "./RunContext.ts";

/** The position is read before the marker: a marker that is replayed in between then only understates the position. */
const REPLAYED_QUERY = serialize.query(`SELECT pg_last_wal_replay_lsn(); ${MARKED_TERM_SELECT}`);

/** Runs a read on a replica, which proves in the same round trip that its data covers the required position. */
export const runReplicaRead = (context: RunContext): void => {
    const { request, relay } = context;
    const firstMainStep = request.requiredPosition.term === 0 ? 0 : 1;
    const columns: (string | undefined)[] = [];
    let isCovered = true;
    const queries = firstMainStep === 0 ? [] : [REPLAYED_QUERY];
    context.send([...queries, Buffer.from(request.messages)], countSteps(request.messages) + firstMainStep, {
        onMessage: (message, step) => {
            if (step < firstMainStep) {
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

/** Without a position or a marker nothing is proved: the instance is no replica, or has replayed no write of ours. */
const isReplayCovered = ({ request, environment }: RunContext, [position, marker]: readonly (string | undefined)[]): boolean => {
    const replayed = parseLogSequenceNumber(position ?? "");
    const view = environment.groupView();
    if (replayed === undefined || marker === undefined || view === undefined) {
        return false;
    }
    return positionCoverage({ term: Number(marker), position: replayed }, request.requiredPosition, view) === Coverage.Covered;
};
