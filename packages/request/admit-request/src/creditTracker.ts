import { ResultCode } from "@pomeloturn/errors/ResultCode";

/** Age from which a report is ignored. */
const REPORT_VALID_MS = 1_000;

/** Largest number of outstanding requests of a rank at an instance while there is no valid report. */
export const MAXIMUM_UNREPORTED_REQUESTS = 32;

/** Flow-control state of an entry proxy for one rank at one instance of another VM. */
interface RankCredits {
    /** Requests that may still be sent. */
    credits: number;
    reportedAtMs: number;
    outstanding: number;
    /** Monotonic times of sent requests that the next report may not include, in milliseconds. */
    sentAtMs: number[];
}

/** Flow control of an entry proxy: credits by instance and rank, as granted by the holders of the instances. */
export interface CreditTracker {
    readonly accounts: Map<string, RankCredits[]>;
}

export const createCreditTracker = (): CreditTracker => ({ accounts: new Map() });

const findRankCredits = (tracker: CreditTracker, instance: string, rank: number): RankCredits => {
    let accounts = tracker.accounts.get(instance);
    if (accounts === undefined) {
        accounts = [];
        tracker.accounts.set(instance, accounts);
    }
    return accounts[rank] ??= { credits: 0, reportedAtMs: -Infinity, outstanding: 0, sentAtMs: [] };
};

/**
 * Decides whether a request may be sent to the instance's holder, and counts it as outstanding if so. The
 * caller must then call `releaseCredit` when the request ends.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns `ResultCode.Ok`, or `QueueFull` when the holder would refuse the request
 */
export const takeCredit = (tracker: CreditTracker, instance: string, rank: number, nowMs: number): ResultCode => {
    const account = findRankCredits(tracker, instance, rank);
    const isReportValid = nowMs - account.reportedAtMs <= REPORT_VALID_MS;
    const mayBeSent = isReportValid ? account.credits >= 1 : account.outstanding < MAXIMUM_UNREPORTED_REQUESTS;
    if (!mayBeSent) {
        return ResultCode.QueueFull;
    }
    account.credits--;
    account.outstanding++;
    account.sentAtMs.push(nowMs);
    if (account.sentAtMs.length > MAXIMUM_UNREPORTED_REQUESTS && !isReportValid) {
        account.sentAtMs.shift();
    }
    return ResultCode.Ok;
};

/**
 * Records the end of a request that `takeCredit` admitted.
 *
 * @param isServed whether the request ran; its credit may then be used again before the next report
 */
export const releaseCredit = (tracker: CreditTracker, instance: string, rank: number, isServed: boolean): void => {
    const account = findRankCredits(tracker, instance, rank);
    account.outstanding--;
    account.credits += isServed ? 1 : 0;
};

/**
 * Applies a holder's report. Requests that were sent after the report was requested may not be included in it,
 * so they are subtracted from the reported credits.
 *
 * @param credits reported credits by rank
 * @param requestSentAtMs monotonic time at which this VM requested the report, in milliseconds
 * @param nowMs monotonic time in milliseconds
 */
export const applyCreditReport = (
    tracker: CreditTracker,
    instance: string,
    credits: readonly number[],
    requestSentAtMs: number,
    nowMs: number,
): void => {
    credits.forEach((grantedCredits, rank) => {
        const account = findRankCredits(tracker, instance, rank);
        account.sentAtMs = account.sentAtMs.filter(sentAtMs => sentAtMs >= requestSentAtMs);
        account.credits = grantedCredits - account.sentAtMs.length;
        account.reportedAtMs = nowMs;
    });
};
