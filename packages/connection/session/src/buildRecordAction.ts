import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import { RequestMode } from "@pomeloturn/types/Request";
import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { CurrentRequest, SessionState } from "./SessionState.ts";

/** Builds the action that records result and latency of a finished request in the metrics. */
export const buildRecordAction = (state: SessionState, current: CurrentRequest, code: ResultCode, nowMs: number): SessionAction => ({
    kind: SessionActionKind.Record,
    service: state.service,
    rank: current.rank,
    latencyMs: nowMs - current.startedAtMs,
    code,
    isReplica: current.request.mode === RequestMode.ReplicaRead,
});
