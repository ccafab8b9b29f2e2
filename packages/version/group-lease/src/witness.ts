import type { LeaseGuards } from "./LeaseGuards.ts";
import { CLOCK_RATE_MARGIN, ELECTION_TIMEOUT_MS, LEASE_MS, PROMISE_AFTER_SILENCE_MS } from "./leaseTiming.ts";

/** State of a VM as a witness of one group. Times are monotonic milliseconds of the VM's clock. */
export interface WitnessState {
    readonly startedAtMs: number;
    /** Highest row version that this witness promised not to grant again. It also grants no lower version. */
    promisedVersion: number;
    /** Time at which the last grant of this witness expires. */
    grantedUntilMs: number;
    /** Highest row version that this witness granted. */
    grantedVersion: number;
    /** When the holder last showed itself to be alive, by a renewal or a newer row. */
    holderHeardAtMs: number;
}

/** @param startedAtMs start of this process; an earlier process of this VM may have granted leases until then */
export const createWitness = (startedAtMs: number, nowMs: number): WitnessState => ({
    startedAtMs,
    promisedVersion: 0,
    grantedUntilMs: 0,
    grantedVersion: 0,
    holderHeardAtMs: nowMs,
});

/** Decides whether to grant a renewal, and extends the grant by `LEASE_MS` if so. @param isNamed whether the renewal names this incarnation of the witness */
export const grantRenewal = (witness: WitnessState, rowVersion: number, isNamed: boolean, guards: LeaseGuards, nowMs: number): boolean => {
    if (guards.isIncarnationChecked && !isNamed) {
        return false;
    }
    if (guards.isPromiseKept && rowVersion <= witness.promisedVersion) {
        return false;
    }
    witness.grantedUntilMs = Math.max(witness.grantedUntilMs, nowMs + LEASE_MS);
    witness.grantedVersion = Math.max(witness.grantedVersion, rowVersion);
    return true;
};

/**
 * Decides on a candidate's request to stop granting a row version. A witness that recently heard from the holder refuses,
 * so that a single broken link cannot depose a working holder.
 *
 * @param isNamed whether the known row has that version and names this incarnation as a witness
 * @returns the time until the grants expire in milliseconds, or undefined when the witness refuses
 */
export const promiseVersion = (
    witness: WitnessState,
    rowVersion: number,
    isNamed: boolean,
    guards: LeaseGuards,
    nowMs: number,
): number | undefined => {
    if (rowVersion > witness.promisedVersion && nowMs - witness.holderHeardAtMs < PROMISE_AFTER_SILENCE_MS) {
        return undefined;
    }
    witness.promisedVersion = Math.max(witness.promisedVersion, rowVersion);
    const isPredecessorCounted = !isNamed && guards.isRestartWaitedOut;
    const predecessorUntilMs = isPredecessorCounted ? witness.startedAtMs + LEASE_MS * (1 + CLOCK_RATE_MARGIN) : 0;
    return Math.max(0, Math.max(witness.grantedUntilMs, predecessorUntilMs) - nowMs);
};

/** Ends the grants for a row version that the holder has released. Witnesses then become candidates in their order without waiting for the election timeout. */
export const releaseVersion = (witness: WitnessState, rowVersion: number, nowMs: number): void => {
    if (witness.grantedVersion <= rowVersion) {
        witness.promisedVersion = Math.max(witness.promisedVersion, rowVersion);
        witness.grantedUntilMs = 0;
        witness.holderHeardAtMs = nowMs - ELECTION_TIMEOUT_MS;
    }
};
