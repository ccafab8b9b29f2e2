import { chargeExcessBytes, chargeLink, createLinkAccount, type LinkAccount } from "@pomeloturn/charge-link/LinkAccount";
import { EMPTY_LINK_ROW, type LinkRow } from "@pomeloturn/charge-link/LinkLease";
import { splitApprovedTraffic } from "@pomeloturn/charge-link/LinkLimits";
import { isRenewalDue, planRenewal, recordRenewalOutcome } from "@pomeloturn/charge-link/renewLease";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { LinkConfiguration } from "@pomeloturn/types/Configuration";
import type { TableService } from "@pomeloturn/types/Platform";

const RENEWAL_CHECK_INTERVAL_MS = 200;
/** Maximum number of entry VMs that send over a link at the same time. It determines the rate of each VM without a lease. */
const MAXIMUM_VMS = 512;

/** Dependencies of `LinkBudgets`. */
export interface LinkBudgetsOptions {
    /** Identifies one start of a process. */
    readonly processId: string;
    readonly table: TableService;
    /** Paid links in the current configuration. */
    links(): readonly LinkConfiguration[];
    /** Monotonic time in milliseconds. */
    nowMs(): number;
    /** Months since the year 0, in UTC. */
    month(): number;
    /** Called when a renewal has failed. It is retried. */
    onRenewalFailed(link: string, error: Error): void;
}

/** Traffic of this process over one link. */
export interface LinkUsage {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly sentBytes: number;
    readonly refusedCount: number;
    readonly leasedBytesPerSecond: number;
}

const keyOf = (fromRegion: string, toRegion: string): string => `link/${fromRegion}/${toRegion}`;

/** Accounts of all paid links of one process, with leases for their traffic from the table service. */
export class LinkBudgets {
    private readonly accounts = new Map<string, LinkAccount>();
    private readonly renewalsInFlight = new Set<string>();
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly options: LinkBudgetsOptions) {
        this.timer = setInterval(() => this.renewAll(), RENEWAL_CHECK_INTERVAL_MS);
        this.timer.unref();
    }

    static create(options: LinkBudgetsOptions): LinkBudgets {
        return new LinkBudgets(options);
    }

    /** Charges a message to the link. @returns `ResultCode.Ok` also when there is no paid link between the regions */
    charge(fromRegion: string, toRegion: string, rank: number, sizeBytes: number): ResultCode {
        const account = this.findAccount(fromRegion, toRegion);
        return account === undefined ? ResultCode.Ok : chargeLink(account, rank, sizeBytes, this.options.month(), this.options.nowMs());
    }

    /** Charges the bytes by which an answer exceeded the charge that was made for it. */
    chargeExcessBytes(fromRegion: string, toRegion: string, extraBytes: number): void {
        const account = this.findAccount(fromRegion, toRegion);
        if (account !== undefined) {
            chargeExcessBytes(account, extraBytes);
        }
    }

    listUsage(): LinkUsage[] {
        return this.options.links().flatMap(({ fromRegion, toRegion }) => {
            const account = this.accounts.get(keyOf(fromRegion, toRegion));
            if (account === undefined) {
                return [];
            }
            const { sentBytes, refusedCount, lease } = account;
            return [{ fromRegion, toRegion, sentBytes, refusedCount, leasedBytesPerSecond: lease.bytesPerSecond }];
        });
    }

    close(): void {
        clearInterval(this.timer);
    }

    private findAccount(fromRegion: string, toRegion: string): LinkAccount | undefined {
        if (fromRegion === toRegion) {
            return undefined;
        }
        const link = this.options.links().find(each => each.fromRegion === fromRegion && each.toRegion === toRegion);
        return link === undefined ? undefined : this.openAccount(link);
    }

    private openAccount({ fromRegion, toRegion, approvedBytesPerSecond, approvedBytesPerMonth }: LinkConfiguration): LinkAccount {
        const limits = splitApprovedTraffic(approvedBytesPerSecond, approvedBytesPerMonth, MAXIMUM_VMS);
        const known = this.accounts.get(keyOf(fromRegion, toRegion));
        if (known !== undefined) {
            known.limits = limits;
            return known;
        }
        const created = createLinkAccount(this.options.processId, limits, this.options.nowMs());
        this.accounts.set(keyOf(fromRegion, toRegion), created);
        return created;
    }

    private renewAll(): void {
        for (const [key, account] of this.accounts) {
            const isDue = account.lease.pendingRenewal !== undefined || isRenewalDue(account, this.options.nowMs());
            if (isDue && !this.renewalsInFlight.has(key)) {
                this.renewalsInFlight.add(key);
                void this.renew(key, account)
                    .catch((error: Error) => this.options.onRenewalFailed(key, error))
                    .finally(() => this.renewalsInFlight.delete(key));
            }
        }
    }

    /** Renews a lease. A write that got no answer stays pending and is sent again with the same operation id. */
    private async renew(key: string, account: LinkAccount): Promise<void> {
        const { table, month, nowMs } = this.callbacks();
        if (account.lease.pendingRenewal === undefined) {
            const [row] = await table.read([key]);
            const value = row === undefined || row.value === "" ? EMPTY_LINK_ROW : JSON.parse(row.value) as LinkRow;
            planRenewal(account, { row: value, version: row?.version ?? 0, era: row?.era ?? 0 }, month(), nowMs());
        }
        const { operationId, expectedVersion, expectedEra, row } = account.lease.pendingRenewal!;
        const write = { key, expectedVersion, expectedEra: expectedEra === 0 ? undefined : expectedEra, value: JSON.stringify(row) };
        const result = await table.transact(operationId, [write]);
        recordRenewalOutcome(account, result.isApplied, nowMs());
    }

    private callbacks(): { table: TableService; month: () => number; nowMs: () => number; } {
        const { options } = this;
        return { table: options.table, month: () => options.month(), nowMs: () => options.nowMs() };
    }
}
