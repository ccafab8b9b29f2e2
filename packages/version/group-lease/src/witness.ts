import type { LeaseGuards } from "./LeaseGuards.ts";
import { CLOCK_RATE_MARGIN, LEASE_MS, PROMISE_AFTER_MS, SUSPICION_MS } from "./leaseTiming.ts";

/** What a VM remembers as a witness of one group. Times are monotonic milliseconds of the VM. */
export interface WitnessState {
    readonly startedAtMs: number;
    /** Row version up to which this witness grants nothing more. */
    promisedVersion: number;
    /** Time until which a holder may still count on a grant of this witness. */
    grantedUntilMs: number;
    /** Highest row version that was granted. */
    grantedVersion: number;
    /** Last sign of life of the holder. */
    heardAtMs: number;
}

/** @param startedAtMs start of this process, whose predecessor may have granted until then */
export const createWitness = (startedAtMs: number, nowMs: number): WitnessState => ({
    startedAtMs,
    promisedVersion: 0,
    grantedUntilMs: 0,
    grantedVersion: 0,
    heardAtMs: nowMs,
});

/** Decides on a renewal and, when it grants, keeps the lease for its whole time. */
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
 * Decides on a candidate's request to stop granting a row version. A witness that heard the holder lately refuses,
 * so that one broken link unseats no holder.
 *
 * @returns the time in milliseconds that grants still run, or undefined when the witness refuses
 */
export const promiseVersion = (
    witness: WitnessState,
    rowVersion: number,
    isNamed: boolean,
    guards: LeaseGuards,
    nowMs: number,
): number | undefined => {
    if (rowVersion > witness.promisedVersion && nowMs - witness.heardAtMs < PROMISE_AFTER_MS) {
        return undefined;
    }
    witness.promisedVersion = Math.max(witness.promisedVersion, rowVersion);
    const isPredecessorCounted = !isNamed && guards.isRestartWaitedOut;
    const predecessorUntilMs = isPredecessorCounted ? witness.startedAtMs + LEASE_MS * (1 + CLOCK_RATE_MARGIN) : 0;
    return Math.max(0, Math.max(witness.grantedUntilMs, predecessorUntilMs) - nowMs);
};

/** Takes in that the holder gave up a row version for ever; candidates then stand in their order without delay. */
export const releaseVersion = (witness: WitnessState, rowVersion: number, nowMs: number): void => {
    if (witness.grantedVersion <= rowVersion) {
        witness.promisedVersion = Math.max(witness.promisedVersion, rowVersion);
        witness.grantedUntilMs = 0;
        witness.heardAtMs = nowMs - SUSPICION_MS;
    }
};
