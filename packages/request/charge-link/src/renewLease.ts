import { advanceAccount, type LinkAccount } from "./LinkAccount.ts";
import type { LeaseEntry, LinkRow, PendingLease } from "./LinkLease.ts";

const MINIMUM_TTL_MS = 15_000;
/** Lengthens leases with their number, so that a link's row is written at most about 4 times a second. */
const TTL_MS_PER_LEASE = 500;
/** Others wait this much longer than a lease before they take it to be void, for clocks that run at different rates. */
const RECLAIM_FACTOR = 1.2;
/** A VM asks for more than it needs at present. */
const DEMAND_HEADROOM = 1.25;
/** Shortest time between two changes of the row by one VM. */
const CHANGE_INTERVAL_MS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Leases of other processes that may still be used. A lease is void when it was not renewed for long on our own clock. */
const findOthers = (account: LinkAccount, row: LinkRow, nowMs: number): Record<string, LeaseEntry> => {
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

/** The rate to lease: what is free, but no more than a fair part when others want more than they have. */
const chooseRate = (others: readonly LeaseEntry[], wanted: number, leasable: number): number => {
    const free = Math.max(0, leasable - others.reduce((sum, { bytesPerSecond }) => sum + bytesPerSecond, 0));
    const isContended = others.some(each => each.bytesPerSecond < Math.min(each.wantedBytesPerSecond, leasable / (others.length + 1)));
    return Math.min(wanted, free, isContended ? leasable / (others.length + 1) : leasable);
};

/**
 * Plans a change of the link's row that takes, renews or gives back this VM's lease. A smaller rate is in
 * force at once, a larger one when the change is known to have been applied.
 *
 * @param month months since the year 0 by this VM's calendar
 */
export const planRenewal = (account: LinkAccount, row: LinkRow, version: number, month: number, nowMs: number): PendingLease => {
    advanceAccount(account, nowMs);
    const { lease, limits } = account;
    const others = findOthers(account, row, nowMs);
    const wantedBytesPerSecond = hasDemand(account) ? account.demandBytesPerSecond * DEMAND_HEADROOM : 0;
    const bytesPerSecond = chooseRate(Object.values(others), wantedBytesPerSecond, limits.leasableBytesPerSecond);
    const rowMonth = Math.max(row.month, month);
    const leasedBytes = rowMonth === row.month ? row.monthLeasedBytes : 0;
    const leftBytes = lease.month === rowMonth ? lease.monthLeftBytes : 0;
    const ttlMs = Math.max(MINIMUM_TTL_MS, (Object.keys(others).length + 1) * TTL_MS_PER_LEASE);
    const neededBytes = Math.max(0, bytesPerSecond * ttlMs / MILLISECONDS_PER_SECOND - leftBytes);
    const drawnBytes = Math.min(neededBytes, Math.max(0, limits.leasableBytesPerMonth - leasedBytes));
    const entry = { bytesPerSecond, wantedBytesPerSecond, sequence: lease.sequence + 1, ttlMs };
    const pending: PendingLease = {
        operationId: `${lease.id}/${lease.nextOperation++}`,
        expectedVersion: version,
        row: {
            month: rowMonth,
            monthLeasedBytes: leasedBytes + drawnBytes,
            leases: wantedBytesPerSecond === 0 ? others : { ...others, [lease.id]: entry },
        },
        sentAtMs: nowMs,
        drawnBytes,
    };
    lease.pending = pending;
    lease.plannedAtMs = nowMs;
    lease.bytesPerSecond = Math.min(lease.bytesPerSecond, bytesPerSecond);
    return pending;
};

/** Takes the outcome of the pending change. A refused one is planned anew from the row as it stands. */
export const receiveRenewal = (account: LinkAccount, isApplied: boolean, nowMs: number): void => {
    const { lease } = account;
    const { pending } = lease;
    lease.pending = undefined;
    if (pending === undefined || !isApplied) {
        return;
    }
    advanceAccount(account, nowMs);
    const entry = pending.row.leases[lease.id];
    if (entry === undefined) {
        lease.bytesPerSecond = 0;
        lease.wantedBytesPerSecond = 0;
        lease.expiresAtMs = -Infinity;
        return;
    }
    if (lease.month !== pending.row.month) {
        lease.month = pending.row.month;
        lease.monthLeftBytes = 0;
    }
    lease.monthLeftBytes += pending.drawnBytes;
    lease.bytesPerSecond = entry.bytesPerSecond;
    lease.wantedBytesPerSecond = entry.wantedBytesPerSecond;
    lease.sequence = entry.sequence;
    lease.expiresAtMs = pending.sentAtMs + entry.ttlMs;
    lease.renewAtMs = pending.sentAtMs + entry.ttlMs / 2;
    advanceAccount(account, nowMs);
};

const hasDemand = ({ demandBytesPerSecond, limits }: LinkAccount): boolean => demandBytesPerSecond > limits.safeBytesPerSecond / 2;

/** Whether the lease should be renewed: it is half over, or the demand has outgrown it. */
export const isRenewalDue = (account: LinkAccount, nowMs: number): boolean => {
    advanceAccount(account, nowMs);
    const { lease, demandBytesPerSecond } = account;
    if (nowMs - lease.plannedAtMs < CHANGE_INTERVAL_MS) {
        return false;
    }
    const isOutgrown = hasDemand(account) && demandBytesPerSecond > lease.wantedBytesPerSecond;
    return isOutgrown || (lease.wantedBytesPerSecond > 0 && nowMs >= lease.renewAtMs);
};
