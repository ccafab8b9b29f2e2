import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { type SessionToken, TOKEN_GROUP_LIMIT } from "./SessionToken.ts";

const isLater = (left: LogPosition, right: LogPosition): boolean =>
    left.term > right.term || (left.term === right.term && left.position > right.position);

/**
 * Returns a copy of the token with the position added; an existing later position of the group is kept.
 * If the token would exceed `TOKEN_GROUP_LIMIT`, the least recently written group is evicted and the token is
 * marked incomplete, so that a missing group no longer means that the session has not written to it.
 */
export const mergePosition = (token: SessionToken, group: string, position: LogPosition): SessionToken => {
    const known = token.positions.get(group);
    const latest = known !== undefined && isLater(known, position) ? known : position;
    const positions = new Map(token.positions);
    positions.delete(group);
    positions.set(group, latest);
    if (positions.size <= TOKEN_GROUP_LIMIT) {
        return { positions, isComplete: token.isComplete };
    }
    const [leastRecentGroup] = positions.keys();
    positions.delete(leastRecentGroup!);
    return { positions, isComplete: false };
};

/**
 * Merges a token that the caller presents into the token of the session. The result is as complete as the
 * presented token, unless the session's own token may have evicted a group.
 */
export const mergeTokens = (own: SessionToken, presented: SessionToken): SessionToken => {
    const isOwnComplete = own.isComplete || own.positions.size < TOKEN_GROUP_LIMIT;
    return [...presented.positions].reduce<SessionToken>(
        (merged, [group, position]) => mergePosition(merged, group, position),
        { positions: own.positions, isComplete: isOwnComplete && presented.isComplete },
    );
};
