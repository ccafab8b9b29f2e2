import type { VmIncarnation } from "./GroupRow.ts";

/** Number of witnesses that are more than half of them. */
export const majorityOf = (witnesses: readonly VmIncarnation[]): number => Math.floor(witnesses.length / 2) + 1;

/**
 * Computes until when a majority of the witnesses grants the lease.
 *
 * @param sentAtMs the latest renewal that a witness has granted, in the holder's clock
 * @param leaseMs time for which a holder leads from sending
 * @returns `-Infinity` when no majority ever granted
 */
export const computeLeaseExpiry = (
    witnesses: readonly VmIncarnation[],
    sentAtMs: (witness: VmIncarnation) => number | undefined,
    leaseMs: number,
): number => {
    const sent = witnesses.map(witness => sentAtMs(witness) ?? -Infinity).sort((left, right) => right - left);
    return sent[majorityOf(witnesses) - 1]! + leaseMs;
};
