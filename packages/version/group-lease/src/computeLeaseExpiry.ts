import type { VmIncarnation } from "./GroupRow.ts";

/** Returns the smallest number of witnesses that is more than half of them. */
export const computeMajority = (witnesses: readonly VmIncarnation[]): number => Math.floor(witnesses.length / 2) + 1;

/**
 * Computes the time until which a majority of the witnesses grants the lease, in the holder's clock.
 *
 * @param sentAtMs returns when the latest renewal that the witness granted was sent; undefined when it granted none
 * @param leaseMs duration of the lease, counted from sending the renewal
 * @returns `-Infinity` when no majority has granted the lease
 */
export const computeLeaseExpiry = (
    witnesses: readonly VmIncarnation[],
    sentAtMs: (witness: VmIncarnation) => number | undefined,
    leaseMs: number,
): number => {
    const sent = witnesses.map(witness => sentAtMs(witness) ?? -Infinity).sort((left, right) => right - left);
    return sent[computeMajority(witnesses) - 1]! + leaseMs;
};
