import { createHash } from "node:crypto";

/** Chooses a service's group by the highest hash of group and key, so that adding a group moves only its share of the keys. */
export const chooseGroup = (groups: readonly string[], key: string): string => {
    let best = groups[0]!;
    let bestHash = "";
    for (const group of groups) {
        const hash = createHash("sha1").update(`${group}\n${key}`).digest("hex");
        if (hash > bestHash) {
            best = group;
            bestHash = hash;
        }
    }
    return best;
};
