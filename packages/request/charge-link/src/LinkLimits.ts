/** What was approved for an ordered pair of regions, split into leased and static parts. */

/** Part of what was approved that is set aside for VMs without a lease. */
const SAFE_PART = 0.05;
const LONGEST_MONTH_S = 31 * 24 * 3_600;

/** Limits of one link as one VM may use them. */
export interface LinkLimits {
    /** Largest sum of all leased rates. */
    readonly leasableBytesPerSecond: number;
    /** Largest sum of the bytes that are leased in a month. */
    readonly leasableBytesPerMonth: number;
    /** Rate that each VM may use without a lease. */
    readonly safeBytesPerSecond: number;
}

/**
 * Splits what was approved. The safe rate needs no memory: even if every VM uses it all month, through any
 * restarts, the month's part that is set aside is not passed.
 *
 * @param maximumVms largest number of VMs that may send over the link at the same time
 */
export const splitApproved = (bytesPerSecond: number, bytesPerMonth: number, maximumVms: number): LinkLimits => ({
    leasableBytesPerSecond: bytesPerSecond * (1 - SAFE_PART),
    leasableBytesPerMonth: bytesPerMonth * (1 - SAFE_PART),
    safeBytesPerSecond: Math.min(bytesPerSecond, bytesPerMonth / LONGEST_MONTH_S) * SAFE_PART / maximumVms,
});
