import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { type ForwardRequest, RequestMode } from "@pomeloturn/types/Request";

/**
 * Decides whether a request may be sent to the instance.
 *
 * @param isPinned whether the request's transaction has a connection at this holder
 * @param nowMs monotonic time in milliseconds
 * @returns `ResultCode.Ok`, or the result code for a request that must not run
 */
export const checkRequest = (request: ForwardRequest, view: GroupView | undefined, isPinned: boolean, nowMs: number): ResultCode => {
    if (view === undefined) {
        return ResultCode.NotHolder;
    }
    if (request.mode === RequestMode.ReplicaRead) {
        return ResultCode.Ok;
    }
    if (request.mode === RequestMode.TransactionStep && !isPinned) {
        return ResultCode.TransactionLost;
    }
    if (view.primary !== request.instance || request.requiredPosition.term > view.term) {
        return ResultCode.TermChanged;
    }
    if (request.term !== 0 && request.term !== view.term) {
        return isPinned ? ResultCode.TransactionLost : ResultCode.TermChanged;
    }
    return isLeaseValid(view, nowMs) ? ResultCode.Ok : ResultCode.LeaseLapsedBeforeSend;
};

/** Whether this VM may acknowledge writes of the group at `nowMs`. */
export const isLeaseValid = (view: GroupView, nowMs: number): boolean =>
    view.leaseExpiresAtMs !== undefined && nowMs < view.leaseExpiresAtMs;

/** Whether an answer of the primary, sent under `term`, may be acknowledged at `nowMs`. */
export const isAcknowledgementAllowed = (instance: string, term: number, view: GroupView | undefined, nowMs: number): boolean =>
    view !== undefined && view.term === term && view.primary === instance && isLeaseValid(view, nowMs);
