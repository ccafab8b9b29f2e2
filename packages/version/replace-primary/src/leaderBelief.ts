/** Which instance of a service this VM takes to be the primary. */
export interface LeaderBelief {
    leaderId: string | undefined;
    /** Highest term in which an instance was seen to lead. */
    term: number;
    /** Revision of the entry in which an instance claims to be the primary, by instance id. */
    readonly claims: Map<string, number>;
    /** Revision of the claim that was found to be untrue, by instance id. */
    readonly denied: Map<string, number>;
}

export const createBelief = (): LeaderBelief => ({ leaderId: undefined, term: 0, claims: new Map(), denied: new Map() });

const newestClaim = ({ claims, denied }: LeaderBelief): string | undefined => {
    let newest: string | undefined;
    for (const [id, revision] of claims) {
        if (denied.get(id) !== revision && (newest === undefined || revision > claims.get(newest)!)) {
            newest = id;
        }
    }
    return newest;
};

/** Takes an instance's entry into account. A newer claim wins over what was believed before. */
export const recordClaim = (belief: LeaderBelief, id: string, isPrimary: boolean, revision: number): void => {
    const isNew = isPrimary && belief.claims.get(id) !== revision;
    if (isPrimary) {
        belief.claims.set(id, revision);
    }
    else {
        belief.claims.delete(id);
    }
    if (isNew || belief.leaderId === undefined || (belief.leaderId === id && !isPrimary)) {
        belief.leaderId = newestClaim(belief);
    }
};

/** The instance refused what only a primary may do. */
export const recordDenied = (belief: LeaderBelief, id: string): void => {
    const claimed = belief.claims.get(id);
    if (claimed !== undefined) {
        belief.denied.set(id, claimed);
    }
    if (belief.leaderId === id) {
        belief.leaderId = newestClaim(belief);
    }
};

/** The instance acted as the primary of a term. */
export const recordConfirmed = (belief: LeaderBelief, id: string, term: number): void => {
    if (term >= belief.term) {
        belief.term = term;
        belief.leaderId = id;
        belief.denied.delete(id);
    }
};

/** The instance is gone. */
export const recordGone = (belief: LeaderBelief, id: string): void => {
    belief.claims.delete(id);
    belief.denied.delete(id);
    if (belief.leaderId === id) {
        belief.leaderId = newestClaim(belief);
    }
};
