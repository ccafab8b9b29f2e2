import { isInHistory } from "@pomeloturn/choose-instance/positionCoverage";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { mergePosition } from "@pomeloturn/session-token/mergePosition";
import type { GroupView } from "@pomeloturn/types/ControlView";
import type { SessionState } from "./SessionState.ts";

/**
 * Throws if the session's last write to a group was lost in a promotion. The position in the session's token is first
 * replaced by the start of the current term, so that each lost write is reported only once.
 *
 * @throws PomeloturnError with `WriteLost`
 */
export const throwIfWriteLost = (state: SessionState, group: string, view: GroupView): void => {
    const position = state.token.positions.get(group);
    if (position === undefined || position.term >= view.term || isInHistory(position, view)) {
        return;
    }
    const termStart = view.history.findLast(each => each.term <= view.term)?.position ?? 0;
    state.token = mergePosition(state.token, group, { term: view.term, position: Math.max(1, termStart) });
    throw PomeloturnError.create(ResultCode.WriteLost, `group ${group}, term ${position.term}`);
};
