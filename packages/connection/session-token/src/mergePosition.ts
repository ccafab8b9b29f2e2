import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { type SessionToken, TOKEN_GROUP_LIMIT } from "./SessionToken.ts";

const isLater = (left: LogPosition, right: LogPosition): boolean =>
    left.term > right.term || (left.term === right.term && left.position > right.position);

/**
 * Adds a position to a token. A token that would name too many groups forgets the group that was written
 * longest ago; from then on the session's past counts as unknown there.
 */
export const mergePosition = (token: SessionToken, group: string, position: LogPosition): SessionToken => {
    const known = token.positions.get(group);
    const latest = known !== undefined && isLater(known, position) ? known : position;
    const positions = new Map(token.positions);
    positions.delete(group);
    positions.set(group, latest);
    if (positions.size <= TOKEN_GROUP_LIMIT) {
        return { positions, isPastKnown: token.isPastKnown };
    }
    const [oldest] = positions.keys();
    positions.delete(oldest!);
    return { positions, isPastKnown: false };
};

/**
 * The token of a session that presents `presented` after it has already written `own` here. The presented
 * one states the past, unless the session's own one may have forgotten a group.
 */
export const mergeTokens = (own: SessionToken, presented: SessionToken): SessionToken => {
    const isComplete = own.isPastKnown || own.positions.size < TOKEN_GROUP_LIMIT;
    return [...presented.positions].reduce<SessionToken>(
        (merged, [group, position]) => mergePosition(merged, group, position),
        { positions: own.positions, isPastKnown: isComplete && presented.isPastKnown },
    );
};
