/** Approved traffic from one region to another, split into a leased part and a static fallback part. */

/** Share of the approved traffic that is reserved for VMs without a lease. */
const FALLBACK_SHARE = 0.05;
const LONGEST_MONTH_S = 31 * 24 * 3_600;

/** Limits of one paid link, as seen by one VM. */
export interface LinkLimits {
    /** Largest sum of all leased rates. */
    readonly leasableBytesPerSecond: number;
    /** Largest sum of all bytes that are leased in a month. */
    readonly leasableBytesPerMonth: number;
    /** Rate at which each VM may send without a lease. */
    readonly fallbackBytesPerSecond: number;
}

/**
 * Splits the approved rate and monthly amount of a link. The fallback rate needs no stored state: even if every
 * VM uses it all month and restarts at any time, the total stays within the share reserved for VMs without a lease.
 *
 * @param maximumVms largest number of VMs that may send over the link at the same time
 */
export const splitApprovedTraffic = (bytesPerSecond: number, bytesPerMonth: number, maximumVms: number): LinkLimits => ({
    leasableBytesPerSecond: bytesPerSecond * (1 - FALLBACK_SHARE),
    leasableBytesPerMonth: bytesPerMonth * (1 - FALLBACK_SHARE),
    fallbackBytesPerSecond: Math.min(bytesPerSecond, bytesPerMonth / LONGEST_MONTH_S) * FALLBACK_SHARE / maximumVms,
});
