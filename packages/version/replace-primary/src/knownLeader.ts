import { isAtOrAfterPoint } from "@pomeloturn/store-point/isAtOrAfterPoint";
import { isSamePoint } from "@pomeloturn/store-point/isSamePoint";
import type { StorePoint } from "@pomeloturn/types/StoreRow";

/** The instance of a service that this VM considers the primary, and the claims it is derived from. */
export interface KnownLeader {
    leaderId: string | undefined;
    /** Highest term in which an instance was confirmed as the primary. */
    term: number;
    /** When the entry in which an instance claims to be the primary was written, by instance id. */
    readonly claims: Map<string, StorePoint>;
    /** When the claim that the instance's answers disproved was written, by instance id. */
    readonly deniedClaims: Map<string, StorePoint>;
}

export const createKnownLeader = (): KnownLeader => ({ leaderId: undefined, term: 0, claims: new Map(), deniedClaims: new Map() });

const isKnownPoint = (known: StorePoint | undefined, point: StorePoint): boolean => known !== undefined && isSamePoint(known, point);

const newestClaim = ({ claims, deniedClaims }: KnownLeader): string | undefined => {
    let newest: string | undefined;
    for (const [id, writtenAt] of claims) {
        const isNewest = newest === undefined || !isAtOrAfterPoint(claims.get(newest)!, writtenAt);
        if (isNewest && !isKnownPoint(deniedClaims.get(id), writtenAt)) {
            newest = id;
        }
    }
    return newest;
};

/** Records an instance's directory entry. A new claim replaces the previously known leader. */
export const recordClaim = (knownLeader: KnownLeader, id: string, isPrimary: boolean, writtenAt: StorePoint): void => {
    const isNew = isPrimary && !isKnownPoint(knownLeader.claims.get(id), writtenAt);
    if (isPrimary) {
        knownLeader.claims.set(id, writtenAt);
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
