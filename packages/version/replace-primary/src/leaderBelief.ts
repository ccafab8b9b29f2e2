/** The instance of a service that this VM considers the primary, and the claims it is derived from. */
export interface LeaderBelief {
    leaderId: string | undefined;
    /** Highest term in which an instance was confirmed as the primary. */
    term: number;
    /** Revision of the directory entry in which an instance claims to be the primary, by instance id. */
    readonly claims: Map<string, number>;
    /** Revision of the claim that the instance's answers disproved, by instance id. */
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

/** Records an instance's directory entry. A new claim replaces the previously known leader. */
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

/** Records that the instance refused an operation that only a primary may perform. */
export const recordDenied = (belief: LeaderBelief, id: string): void => {
    const claimed = belief.claims.get(id);
    if (claimed !== undefined) {
        belief.denied.set(id, claimed);
    }
    if (belief.leaderId === id) {
        belief.leaderId = newestClaim(belief);
    }
};

/** Records that the instance acted as the primary of a term. Older terms are ignored. */
export const recordConfirmed = (belief: LeaderBelief, id: string, term: number): void => {
    if (term >= belief.term) {
        belief.term = term;
        belief.leaderId = id;
        belief.denied.delete(id);
    }
};

/** Removes an instance that is no longer listed. */
export const recordGone = (belief: LeaderBelief, id: string): void => {
    belief.claims.delete(id);
    belief.denied.delete(id);
    if (belief.leaderId === id) {
        belief.leaderId = newestClaim(belief);
    }
};
