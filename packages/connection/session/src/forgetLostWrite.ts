import { isInHistory } from "@pomeloturn/choose-instance/positionCoverage";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { mergePosition } from "@pomeloturn/session-token/mergePosition";
import type { GroupView } from "@pomeloturn/types/ControlView";
import type { SessionState } from "./SessionState.ts";

/**
 * Tells a session once that a write of its was lost in a promotion; from then on it requires the start of
 * the present term instead.
 *
 * @throws PomeloturnError with `WriteLost`
 */
export const forgetLostWrite = (state: SessionState, group: string, view: GroupView): void => {
    const position = state.token.positions.get(group);
    if (position === undefined || position.term >= view.term || isInHistory(position, view)) {
        return;
    }
    const start = view.history.findLast(each => each.term <= view.term)?.position ?? 0;
    state.token = mergePosition(state.token, group, { term: view.term, position: Math.max(1, start) });
    throw PomeloturnError.create(ResultCode.WriteLost, `group ${group}, term ${position.term}`);
};
