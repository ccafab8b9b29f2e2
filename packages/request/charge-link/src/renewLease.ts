import { advanceAccount, type LinkAccount } from "./LinkAccount.ts";
import type { LeaseEntry, LinkLease, LinkRow, PendingRenewal, StoredLinkRow } from "./LinkLease.ts";
import { mergeRestoredRow } from "./mergeRestoredRow.ts";

const MINIMUM_TTL_MS = 15_000;
/** Leases last longer when there are more of them, so that a link's row is written at most about 4 times a second. */
const TTL_MS_PER_LEASE = 500;
/** Other VMs wait this many times a lease's time to live before they treat it as expired, as clocks run at different rates. */
const RECLAIM_FACTOR = 1.2;
/** A VM requests this many times its present demand, so that it can grow. */
const DEMAND_HEADROOM = 1.25;
/** Shortest time between two changes of the row by one VM. */
const CHANGE_INTERVAL_MS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Finds the leases of other processes that may still be in use: those renewed recently enough by this VM's clock. */
const findOtherLeases = (account: LinkAccount, row: LinkRow, nowMs: number): Record<string, LeaseEntry> => {
    const { observed, id } = account.lease;
    const others = Object.entries(row.leases).filter(([name, { sequence, ttlMs }]) => {
        const seen = observed.get(name);
        if (seen?.sequence !== sequence) {
            observed.set(name, { sequence, firstSeenAtMs: nowMs });
            return name !== id;
        }
        return name !== id && nowMs - seen.firstSeenAtMs < ttlMs * RECLAIM_FACTOR;
    });
    for (const name of observed.keys()) {
        if (row.leases[name] === undefined) {
            observed.delete(name);
        }
    }
    return Object.fromEntries(others);
};

/**
 * Chooses the rate to lease: the wanted rate, limited to what is not leased by others. While another process has less
 * than it wants and less than an equal share, the rate is also limited to an equal share.
 */
const chooseRate = (others: readonly LeaseEntry[], wantedBytesPerSecond: number, leasableBytesPerSecond: number): number => {
    const freeBytesPerSecond = Math.max(0, leasableBytesPerSecond - others.reduce((sum, { bytesPerSecond }) => sum + bytesPerSecond, 0));
    const isContended = others.some(each =>
        each.bytesPerSecond < Math.min(each.wantedBytesPerSecond, leasableBytesPerSecond / (others.length + 1))
    );
    return Math.min(
        wantedBytesPerSecond,
        freeBytesPerSecond,
        isContended ? leasableBytesPerSecond / (others.length + 1) : leasableBytesPerSecond,
    );
};

/** Returns the row on which a change is based. A restored table service is believed once a change of this VM was applied in it. */
const findBaseRow = (lease: LinkLease, { row, era }: StoredLinkRow): LinkRow => {
    const { known } = lease;
    if (known !== undefined && era > known.era) {
        return mergeRestoredRow(known.row, row);
    }
    lease.known = { row, era };
    return row;
};

/**
 * Plans a change of the link's row that acquires, renews or returns this VM's lease. A lower rate takes effect
 * at once, a higher one only when the change is known to have been applied.
 *
 * @param month months since the year 0, by this VM's calendar
 */
export const planRenewal = (account: LinkAccount, stored: StoredLinkRow, month: number, nowMs: number): PendingRenewal => {
    advanceAccount(account, nowMs);
    const { lease, limits } = account;
    const row = findBaseRow(lease, stored);
    const others = findOtherLeases(account, row, nowMs);
    const wantedBytesPerSecond = hasDemand(account) ? account.demandBytesPerSecond * DEMAND_HEADROOM : 0;
    const bytesPerSecond = chooseRate(Object.values(others), wantedBytesPerSecond, limits.leasableBytesPerSecond);
    const currentMonth = Math.max(row.month, month);
    const leasedBytes = currentMonth === row.month ? row.monthLeasedBytes : 0;
    const remainingBytes = lease.month === currentMonth ? lease.monthRemainingBytes : 0;
    const ttlMs = Math.max(MINIMUM_TTL_MS, (Object.keys(others).length + 1) * TTL_MS_PER_LEASE);
    const neededBytes = Math.max(0, bytesPerSecond * ttlMs / MILLISECONDS_PER_SECOND - remainingBytes);
    const addedBytes = Math.min(neededBytes, Math.max(0, limits.leasableBytesPerMonth - leasedBytes));
    const entry = { bytesPerSecond, wantedBytesPerSecond, sequence: lease.sequence + 1, ttlMs };
    const pendingRenewal: PendingRenewal = {
        operationId: `${lease.id}/${lease.nextOperationNumber++}`,
        expectedVersion: stored.version,
        expectedEra: stored.era,
        row: {
            month: currentMonth,
            monthLeasedBytes: leasedBytes + addedBytes,
            leases: wantedBytesPerSecond === 0 ? others : { ...others, [lease.id]: entry },
        },
        sentAtMs: nowMs,
        addedBytes,
    };
    lease.pendingRenewal = pendingRenewal;
    lease.lastPlannedAtMs = nowMs;
    lease.bytesPerSecond = Math.min(lease.bytesPerSecond, bytesPerSecond);
    return pendingRenewal;
};

/** Records the outcome of the pending change. After a refusal the caller plans again from the present row. */
export const recordRenewalOutcome = (account: LinkAccount, isApplied: boolean, nowMs: number): void => {
    const { lease } = account;
    const { pendingRenewal } = lease;
    lease.pendingRenewal = undefined;
    if (pendingRenewal === undefined || !isApplied) {
        return;
    }
    advanceAccount(account, nowMs);
    lease.known = { row: pendingRenewal.row, era: pendingRenewal.expectedEra };
    const entry = pendingRenewal.row.leases[lease.id];
    if (entry === undefined) {
        lease.bytesPerSecond = 0;
        lease.wantedBytesPerSecond = 0;
        lease.expiresAtMs = -Infinity;
        return;
    }
    if (lease.month !== pendingRenewal.row.month) {
        lease.month = pendingRenewal.row.month;
        lease.monthRemainingBytes = 0;
    }
    lease.monthRemainingBytes += pendingRenewal.addedBytes;
    lease.bytesPerSecond = entry.bytesPerSecond;
    lease.wantedBytesPerSecond = entry.wantedBytesPerSecond;
    lease.sequence = entry.sequence;
    lease.expiresAtMs = pendingRenewal.sentAtMs + entry.ttlMs;
    lease.renewAtMs = pendingRenewal.sentAtMs + entry.ttlMs / 2;
    advanceAccount(account, nowMs);
};

const hasDemand = ({ demandBytesPerSecond, limits }: LinkAccount): boolean => demandBytesPerSecond > limits.fallbackBytesPerSecond / 2;

/** Returns whether the lease should be renewed: half its time to live has passed, or the demand exceeds the requested rate. */
export const isRenewalDue = (account: LinkAccount, nowMs: number): boolean => {
    advanceAccount(account, nowMs);
    const { lease, demandBytesPerSecond } = account;
    if (nowMs - lease.lastPlannedAtMs < CHANGE_INTERVAL_MS) {
        return false;
    }
    const isDemandExceeded = hasDemand(account) && demandBytesPerSecond > lease.wantedBytesPerSecond;
    return isDemandExceeded || (lease.wantedBytesPerSecond > 0 && nowMs >= lease.renewAtMs);
};
