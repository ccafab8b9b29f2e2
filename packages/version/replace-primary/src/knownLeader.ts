/** The instance of a service that this VM considers the primary, and the claims it is derived from. */
export interface KnownLeader {
    leaderId: string | undefined;
    /** Highest term in which an instance was confirmed as the primary. */
    term: number;
    /** Revision of the directory entry in which an instance claims to be the primary, by instance id. */
    readonly claims: Map<string, number>;
    /** Revision of the claim that the instance's answers disproved, by instance id. */
    readonly deniedClaims: Map<string, number>;
}

export const createKnownLeader = (): KnownLeader => ({ leaderId: undefined, term: 0, claims: new Map(), deniedClaims: new Map() });

const newestClaim = ({ claims, deniedClaims }: KnownLeader): string | undefined => {
    let newest: string | undefined;
    for (const [id, revision] of claims) {
        if (deniedClaims.get(id) !== revision && (newest === undefined || revision > claims.get(newest)!)) {
            newest = id;
        }
    }
    return newest;
};

/** Records an instance's directory entry. A new claim replaces the previously known leader. */
export const recordClaim = (knownLeader: KnownLeader, id: string, isPrimary: boolean, revision: number): void => {
    const isNew = isPrimary && knownLeader.claims.get(id) !== revision;
    if (isPrimary) {
        knownLeader.claims.set(id, revision);
    }
    else {
        knownLeader.claims.delete(id);
    }
    if (isNew || knownLeader.leaderId === undefined || (knownLeader.leaderId === id && !isPrimary)) {
        knownLeader.leaderId = newestClaim(knownLeader);
    }
};

/** Records that the instance refused an operation that only a primary may perform. */
export const recordDenial = (knownLeader: KnownLeader, id: string): void => {
    const claimed = knownLeader.claims.get(id);
    if (claimed !== undefined) {
        knownLeader.deniedClaims.set(id, claimed);
    }
    if (knownLeader.leaderId === id) {
        knownLeader.leaderId = newestClaim(knownLeader);
    }
};

/** Records that the instance acted as the primary of a term. Older terms are ignored. */
export const recordConfirmation = (knownLeader: KnownLeader, id: string, term: number): void => {
    if (term >= knownLeader.term) {
        knownLeader.term = term;
        knownLeader.leaderId = id;
        knownLeader.deniedClaims.delete(id);
    }
};

/** Removes an instance that is no longer listed. */
export const recordRemoval = (knownLeader: KnownLeader, id: string): void => {
    knownLeader.claims.delete(id);
    knownLeader.deniedClaims.delete(id);
    if (knownLeader.leaderId === id) {
        knownLeader.leaderId = newestClaim(knownLeader);
    }
};
