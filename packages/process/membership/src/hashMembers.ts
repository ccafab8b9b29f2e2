import { hashText } from "./hash.ts";
import { Condition, type Member } from "./Member.ts";

/** Hash over the members of a failure domain that are not gone, independent of their order. */
export const hashMembers = (members: Iterable<Member>): number => {
    let hash = 0;
    for (const { vm, incarnation, sequence, condition } of members) {
        if (condition !== Condition.Gone) {
            hash ^= hashText(`${vm}\n${incarnation}\n${sequence}`);
        }
    }
    return hash >>> 0;
};
