import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { createLease, isLeaseValid, type LinkLease } from "./LinkLease.ts";
import type { LinkLimits } from "./LinkLimits.ts";
import { bucketCapacityBytes, createBucket, refillBucket, setBucketRate, type TokenBucket } from "./TokenBucket.ts";

/** Share of a bucket's capacity that a rank leaves to each more urgent rank. */
const RESERVE_SHARE_PER_RANK = 0.25;
/** Share of the leasable rate that a new process requests. */
const INITIAL_SHARE = 0.05;
const DEMAND_WINDOW_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Accounting of what one VM may send over one paid link. */
export interface LinkAccount {
    limits: LinkLimits;
    readonly lease: LinkLease;
    /** Bytes that may be sent under the lease. */
    readonly leasedBucket: TokenBucket;
    /** Bytes that may be sent without a lease. */
    readonly fallbackBucket: TokenBucket;
    /** Moving average of the requested rate, including refused requests. */
    demandBytesPerSecond: number;
    demandUpdatedAtMs: number;
    /** Bytes sent since the start of the process. */
    sentBytes: number;
    refusedCount: number;
}

/**
 * Creates the account of a link, without a lease.
 *
 * @param id process id, unique for each start of a process
 */
export const createLinkAccount = (id: string, limits: LinkLimits, nowMs: number): LinkAccount => ({
    limits,
    lease: createLease(id),
    leasedBucket: createBucket(0, nowMs),
    fallbackBucket: createBucket(limits.fallbackBytesPerSecond, nowMs),
    // A lease is requested before there is demand, so that the first requests are not refused.
    demandBytesPerSecond: limits.leasableBytesPerSecond * INITIAL_SHARE,
    demandUpdatedAtMs: nowMs,
    sentBytes: 0,
    refusedCount: 0,
});

/** Updates the account to `nowMs`. When the lease has expired, its bucket loses its balance and is not refilled. */
export const advanceAccount = (account: LinkAccount, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - account.demandUpdatedAtMs);
    account.demandUpdatedAtMs = nowMs;
    account.demandBytesPerSecond *= Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
    const bytesPerSecond = isLeaseValid(account.lease, nowMs) ? account.lease.bytesPerSecond : 0;
    if (bytesPerSecond !== account.leasedBucket.bytesPerSecond) {
        setBucketRate(account.leasedBucket, bytesPerSecond, nowMs);
    }
    refillBucket(account.leasedBucket, nowMs);
    setBucketRate(account.fallbackBucket, account.limits.fallbackBytesPerSecond, nowMs);
};

/**
 * Charges bytes before they are sent. Less urgent ranks leave a part of the bucket to the more urgent ones,
 * so that the most urgent rank is refused last.
 *
 * @param rank index of the rank; 0 is the most urgent
 * @param month months since the year 0, by this VM's calendar
 * @returns `ResultCode.Ok`, or `LinkBudgetExhausted` when the bytes may not be sent
 */
export const chargeLink = (account: LinkAccount, rank: number, sizeBytes: number, month: number, nowMs: number): ResultCode => {
    advanceAccount(account, nowMs);
    account.demandBytesPerSecond += sizeBytes * MILLISECONDS_PER_SECOND / DEMAND_WINDOW_MS;
    const reservedShare = Math.min(rank * RESERVE_SHARE_PER_RANK, 1 - RESERVE_SHARE_PER_RANK);
    const fits = (bucket: TokenBucket): boolean => bucket.balanceBytes - sizeBytes >= bucketCapacityBytes(bucket) * reservedShare;
    const monthRemainingBytes = account.lease.month >= month ? account.lease.monthRemainingBytes : 0;
    if (fits(account.leasedBucket) && monthRemainingBytes >= sizeBytes) {
        account.leasedBucket.balanceBytes -= sizeBytes;
        account.lease.monthRemainingBytes -= sizeBytes;
    }
    else if (fits(account.fallbackBucket)) {
        account.fallbackBucket.balanceBytes -= sizeBytes;
    }
    else {
        account.refusedCount++;
        return ResultCode.LinkBudgetExhausted;
    }
    account.sentBytes += sizeBytes;
    return ResultCode.Ok;
};

/** Charges the bytes by which an answer exceeded the expected size. Refills have to make up for them before more is sent. */
export const chargeExcessBytes = (account: LinkAccount, extraBytes: number): void => {
    account.leasedBucket.balanceBytes -= extraBytes;
    account.lease.monthRemainingBytes -= extraBytes;
    account.sentBytes += extraBytes;
};
