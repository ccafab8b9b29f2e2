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
    /** Ids of the instances that have answered at their address, so that their entries are not those of another writer. */
    readonly answeredIds: Set<string>;
}

export const createKnownLeader = (): KnownLeader => ({
    leaderId: undefined,
    term: 0,
    claims: new Map(),
    deniedClaims: new Map(),
    answeredIds: new Set(),
});

const isKnownPoint = (known: StorePoint | undefined, point: StorePoint): boolean => known !== undefined && isSamePoint(known, point);

/** Returns the newest claim that was not denied, of instances that have answered if there are such claims. */
const newestClaim = ({ claims, deniedClaims, answeredIds }: KnownLeader): string | undefined => {
    const credible = [...claims].filter(([id, writtenAt]) => !isKnownPoint(deniedClaims.get(id), writtenAt));
    const answered = credible.filter(([id]) => answeredIds.has(id));
    let newest: readonly [id: string, writtenAt: StorePoint] | undefined;
    for (const claim of answered.length > 0 ? answered : credible) {
        newest = newest !== undefined && isAtOrAfterPoint(newest[1], claim[1]) ? newest : claim;
    }
    return newest?.[0];
};

/**
 * Records an instance's directory entry. A new claim replaces the previously known leader, unless that one has answered at
 * its address and the claimant has not: an entry of another writer can name any address.
 */
export const recordClaim = (knownLeader: KnownLeader, id: string, isPrimary: boolean, writtenAt: StorePoint): void => {
    const isNew = isPrimary && !isKnownPoint(knownLeader.claims.get(id), writtenAt);
    if (isPrimary) {
        knownLeader.claims.set(id, writtenAt);
    }
    else {
        knownLeader.claims.delete(id);
    }
    const { leaderId, answeredIds } = knownLeader;
    const isCredible = answeredIds.has(id) || leaderId === undefined || !answeredIds.has(leaderId);
    if ((isNew && isCredible) || leaderId === undefined || (leaderId === id && !isPrimary)) {
        knownLeader.leaderId = newestClaim(knownLeader);
    }
};

/** Records that an instance has answered at its address. Its claim then counts, as if it were made now. */
export const recordAnswered = (knownLeader: KnownLeader, id: string): void => {
    if (!knownLeader.answeredIds.has(id)) {
        knownLeader.answeredIds.add(id);
        const claimed = knownLeader.claims.get(id);
        if (claimed !== undefined) {
            knownLeader.claims.delete(id);
            recordClaim(knownLeader, id, true, claimed);
        }
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
        knownLeader.answeredIds.add(id);
        knownLeader.deniedClaims.delete(id);
    }
};

/** Removes an instance that is no longer listed, or that is not at its address. */
export const recordRemoval = (knownLeader: KnownLeader, id: string): void => {
    knownLeader.answeredIds.delete(id);
    knownLeader.claims.delete(id);
    knownLeader.deniedClaims.delete(id);
    if (knownLeader.leaderId === id) {
        knownLeader.leaderId = newestClaim(knownLeader);
    }
};
