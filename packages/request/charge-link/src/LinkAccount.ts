import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { createLease, isLeaseValid, type LinkLease } from "./LinkLease.ts";
import type { LinkLimits } from "./LinkLimits.ts";
import { advanceBucket, burstBytes, createBucket, setBucketRate, type TokenBucket } from "./TokenBucket.ts";

/** Part of a burst that is kept for each more urgent rank. */
const RANK_RESERVE = 0.25;
/** Part of the leasable rate that a new process asks for. */
const FIRST_SHARE = 0.05;
const DEMAND_WINDOW_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** What one VM may send over one link. */
export interface LinkAccount {
    limits: LinkLimits;
    readonly lease: LinkLease;
    readonly leased: TokenBucket;
    readonly safe: TokenBucket;
    /** Bytes a second that were asked for, smoothed; refused ones count. */
    demandBytesPerSecond: number;
    demandAtMs: number;
    /** Bytes that were sent, since the start of the process. */
    sentBytes: number;
    refusedCount: number;
}

/** @param id unique for each start of a process */
export const createLinkAccount = (id: string, limits: LinkLimits, nowMs: number): LinkAccount => ({
    limits,
    lease: createLease(id),
    leased: createBucket(0, nowMs),
    safe: createBucket(limits.safeBytesPerSecond, nowMs),
    // A first share is asked for before there is demand, so that the first requests are not refused.
    demandBytesPerSecond: limits.leasableBytesPerSecond * FIRST_SHARE,
    demandAtMs: nowMs,
    sentBytes: 0,
    refusedCount: 0,
});

/** Brings the account up to `nowMs`: a lease that has run out earns nothing and its balance is void. */
export const advanceAccount = (account: LinkAccount, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - account.demandAtMs);
    account.demandAtMs = nowMs;
    account.demandBytesPerSecond *= Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
    const bytesPerSecond = isLeaseValid(account.lease, nowMs) ? account.lease.bytesPerSecond : 0;
    if (bytesPerSecond !== account.leased.bytesPerSecond) {
        setBucketRate(account.leased, bytesPerSecond, nowMs);
    }
    advanceBucket(account.leased, nowMs);
    setBucketRate(account.safe, account.limits.safeBytesPerSecond, nowMs);
};

/**
 * Charges bytes before they are sent. Less urgent ranks leave a part of the burst to the more urgent ones,
 * so that the most urgent rank is refused last.
 *
 * @param rank index of the rank; 0 is the most urgent
 * @param month months since the year 0 by this VM's calendar
 * @returns `ResultCode.Ok`, or `LinkBudgetExhausted` when nothing may be sent
 */
export const chargeLink = (account: LinkAccount, rank: number, sizeBytes: number, month: number, nowMs: number): ResultCode => {
    advanceAccount(account, nowMs);
    account.demandBytesPerSecond += sizeBytes * MILLISECONDS_PER_SECOND / DEMAND_WINDOW_MS;
    const reserveShare = Math.min(rank * RANK_RESERVE, 1 - RANK_RESERVE);
    const fits = (bucket: TokenBucket): boolean => bucket.balanceBytes - sizeBytes >= burstBytes(bucket) * reserveShare;
    const monthLeftBytes = account.lease.month >= month ? account.lease.monthLeftBytes : 0;
    if (fits(account.leased) && monthLeftBytes >= sizeBytes) {
        account.leased.balanceBytes -= sizeBytes;
        account.lease.monthLeftBytes -= sizeBytes;
    }
    else if (fits(account.safe)) {
        account.safe.balanceBytes -= sizeBytes;
    }
    else {
        account.refusedCount++;
        return ResultCode.LinkBudgetExhausted;
    }
    account.sentBytes += sizeBytes;
    return ResultCode.Ok;
};

/** Charges what an answer was larger than expected; it is paid off before anything else is sent. */
export const settleLink = (account: LinkAccount, extraBytes: number): void => {
    account.leased.balanceBytes -= extraBytes;
    account.lease.monthLeftBytes -= extraBytes;
    account.sentBytes += extraBytes;
};
