import { ResultCode } from "@pomeloturn/errors/ResultCode";

/** A report older than this says nothing any more. */
const REPORT_VALID_MS = 1_000;

/** Requests of a rank that may be outstanding at an instance without a fresh report. */
export const UNREPORTED_OUTSTANDING = 32;

/** An entry's account of one rank at one instance of another VM. */
interface CreditAccount {
    credits: number;
    reportedAtMs: number;
    outstanding: number;
    /** Times at which requests were sent that the next report may not have counted. */
    sentAtMs: number[];
}

/** An entry's credits by instance and rank. */
export interface CreditLedger {
    readonly accounts: Map<string, CreditAccount[]>;
}

export const createCreditLedger = (): CreditLedger => ({ accounts: new Map() });

const findAccount = (ledger: CreditLedger, instance: string, rank: number): CreditAccount => {
    let accounts = ledger.accounts.get(instance);
    if (accounts === undefined) {
        accounts = [];
        ledger.accounts.set(instance, accounts);
    }
    return accounts[rank] ??= { credits: 0, reportedAtMs: -Infinity, outstanding: 0, sentAtMs: [] };
};

/**
 * Decides whether a request may be sent to the instance's holder, and counts it when it may. Each request
 * that was counted must be followed by `settleCredit`.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns `ResultCode.Ok`, or `QueueFull` when the holder would refuse
 */
export const takeCredit = (ledger: CreditLedger, instance: string, rank: number, nowMs: number): ResultCode => {
    const account = findAccount(ledger, instance, rank);
    const isReported = nowMs - account.reportedAtMs <= REPORT_VALID_MS;
    const mayBeSent = isReported ? account.credits >= 1 : account.outstanding < UNREPORTED_OUTSTANDING;
    if (!mayBeSent) {
        return ResultCode.QueueFull;
    }
    account.credits--;
    account.outstanding++;
    account.sentAtMs.push(nowMs);
    if (account.sentAtMs.length > UNREPORTED_OUTSTANDING && !isReported) {
        account.sentAtMs.shift();
    }
    return ResultCode.Ok;
};

/**
 * Counts the end of a request.
 *
 * @param isServed whether it ran: its place at the holder is then free again and may be used before the next report
 */
export const settleCredit = (ledger: CreditLedger, instance: string, rank: number, isServed: boolean): void => {
    const account = findAccount(ledger, instance, rank);
    account.outstanding--;
    account.credits += isServed ? 1 : 0;
};

/**
 * Takes a holder's report. What was sent since the ask may be missing in it and is counted off.
 *
 * @param askedAtMs monotonic time at which this VM asked, in milliseconds
 */
export const receiveCredits = (
    ledger: CreditLedger,
    instance: string,
    credits: readonly number[],
    askedAtMs: number,
    nowMs: number,
): void => {
    credits.forEach((credit, rank) => {
        const account = findAccount(ledger, instance, rank);
        account.sentAtMs = account.sentAtMs.filter(sentAtMs => sentAtMs >= askedAtMs);
        account.credits = credit - account.sentAtMs.length;
        account.reportedAtMs = nowMs;
    });
};
