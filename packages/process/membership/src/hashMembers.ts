import { hashText } from "./hash.ts";
import { Condition, type Member } from "./Member.ts";

/** Returns an order-independent 32-bit hash of the members that are not gone. */
export const hashMembers = (members: Iterable<Member>): number => {
    let hash = 0;
    for (const { vm, incarnation, sequence, condition } of members) {
        if (condition !== Condition.Gone) {
            hash ^= hashText(`${vm}\n${incarnation}\n${sequence}`);
        }
    }
    return hash >>> 0;
};
