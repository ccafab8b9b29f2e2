import { ResultCode } from "@pomeloturn/errors/ResultCode";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { chargeLink, createLinkAccount, type LinkAccount } from "./LinkAccount.ts";
import { EMPTY_LINK_ROW, type LinkRow, type PendingRenewal } from "./LinkLease.ts";
import { splitApprovedTraffic } from "./LinkLimits.ts";
import { isRenewalDue, planRenewal, recordRenewalOutcome } from "./renewLease.ts";
import { BUCKET_CAPACITY_S } from "./TokenBucket.ts";

const RATE = 100_000;
const MONTH_BYTES = 30_000_000;
const VM_COUNT = 4;
const STEP_MS = 100;

/** In-memory table service with one row; a repeated operation id returns the first outcome. */
class FakeTable {
    row: LinkRow = EMPTY_LINK_ROW;
    version = 0;
    era = 1;
    writeCount = 0;
    private readonly outcomes = new Map<string, boolean>();

    change({ operationId, expectedVersion, expectedEra, row }: PendingRenewal): boolean {
        const known = this.outcomes.get(operationId);
        if (known !== undefined) {
            return known;
        }
        const isApplied = expectedVersion === this.version && expectedEra === this.era;
        if (isApplied) {
            this.row = row;
            this.version++;
            this.writeCount++;
        }
        this.outcomes.set(operationId, isApplied);
        return isApplied;
    }
}

/** Checks the rate in every time window: a leaky bucket with the approved rate and the allowed burst must never overflow. */
class WindowCheck {
    private levelBytes = 0;
    private updatedAtMs = 0;
    totalBytes = 0;

    add(sizeBytes: number, nowMs: number): void {
        this.levelBytes = Math.max(0, this.levelBytes - RATE * (nowMs - this.updatedAtMs) / 1_000) + sizeBytes;
        this.updatedAtMs = nowMs;
        this.totalBytes += sizeBytes;
        expect(this.levelBytes).toBeLessThanOrEqual(RATE * BUCKET_CAPACITY_S);
        expect(this.totalBytes).toBeLessThanOrEqual(MONTH_BYTES);
    }
}

interface Proxy {
    account: LinkAccount;
    /** While true, messages to and from the table service are lost. */
    isPartitioned: boolean;
    pausedUntilMs: number;
}

const limits = splitApprovedTraffic(RATE, MONTH_BYTES, VM_COUNT * 2);
let startCount = 0;
const createProxy = (nowMs: number): Proxy => ({
    account: createLinkAccount(`vm#${startCount++}`, limits, nowMs),
    isPartitioned: false,
    pausedUntilMs: 0,
});

/** Runs one exchange with the table service. The request or the answer may be lost. */
const exchange = (proxy: Proxy, table: FakeTable, nowMs: number, lost?: "requestLost" | "answerLost"): void => {
    const { account } = proxy;
    if (proxy.isPartitioned || (account.lease.pendingRenewal === undefined && !isRenewalDue(account, nowMs))) {
        return;
    }
    const renewal = account.lease.pendingRenewal ?? planRenewal(account, table, 1, nowMs);
    const isApplied = lost !== "requestLost" && table.change(renewal);
    if (lost === undefined) {
        recordRenewalOutcome(account, isApplied, nowMs);
    }
};

describe("leases of a paid link", () => {
    it("never exceed the approved rate and amount under partitions, pauses, lost messages and restarts beside the old process", () => {
        const fault = fc.record({
            vm: fc.nat(VM_COUNT - 1),
            kind: fc.constantFrom("none", "cut", "heal", "pause", "restart", "zombie", "answerLost", "requestLost"),
            steps: fc.integer({ min: 1, max: 300 }),
            sizeBytes: fc.integer({ min: 100, max: 30_000 }),
            sender: fc.nat(VM_COUNT),
        });
        let largestTotalBytes = 0;
        const run = fc.property(fc.array(fault, { minLength: 10, maxLength: 40 }), faults => {
            const table = new FakeTable();
            const check = new WindowCheck();
            const proxies = Array.from({ length: VM_COUNT }, () => createProxy(0));
            const zombies: Proxy[] = [];
            let nowMs = 0;
            for (const { vm, kind, steps, sizeBytes, sender } of faults) {
                const proxy = proxies[vm]!;
                proxy.isPartitioned = kind === "cut" || (proxy.isPartitioned && kind !== "heal");
                proxy.pausedUntilMs = kind === "pause" ? nowMs + steps * STEP_MS * 2 : proxy.pausedUntilMs;
                if (kind === "restart" || kind === "zombie") {
                    zombies.push(...(kind === "zombie" && zombies.length < VM_COUNT ? [proxy] : []));
                    proxies[vm] = createProxy(nowMs);
                }
                for (let step = 0; step < steps; step++) {
                    nowMs += STEP_MS;
                    for (const [index, each] of [...proxies, ...zombies].entries()) {
                        if (nowMs < each.pausedUntilMs) {
                            continue;
                        }
                        const isLost = (kind === "requestLost" || kind === "answerLost") && step % 8 !== 0;
                        exchange(each, table, nowMs, isLost ? kind : undefined);
                        // One VM has all the demand, or every VM has some when `sender` is VM_COUNT.
                        const isSending = sender === VM_COUNT || index % VM_COUNT === sender;
                        for (let turn = 0; isSending && turn < 4; turn++) {
                            if (chargeLink(each.account, turn % 3, sizeBytes, 1, nowMs) === ResultCode.Ok) {
                                check.add(sizeBytes, nowMs);
                            }
                        }
                    }
                }
            }
            largestTotalBytes = Math.max(largestTotalBytes, check.totalBytes);
        });
        fc.assert(run, { seed: 45, numRuns: 60 });
        // Guards against a run in which hardly any traffic was allowed, which would pass the property trivially.
        expect(largestTotalBytes).toBeGreaterThan(MONTH_BYTES / 4);
    });

    it("leases the bytes of a month twice after the table service has lost them", () => {
        const table = new FakeTable();
        const [first, second] = [createProxy(0), createProxy(0)];
        const renewFor = (fromMs: number, toMs: number): void => {
            for (let nowMs = fromMs; nowMs < toMs; nowMs += STEP_MS) {
                [first, second].forEach(proxy => {
                    chargeLink(proxy.account, 0, RATE / 10, 1, nowMs);
                    exchange(proxy, table, nowMs);
                });
            }
        };
        renewFor(0, 10_000);
        const copy = { row: table.row, version: table.version };
        renewFor(10_000, 60_000);
        const { monthLeasedBytes } = table.row;
        expect(monthLeasedBytes).toBeGreaterThan(copy.row.monthLeasedBytes);
        Object.assign(table, copy, { era: 2 });
        renewFor(60_000, 80_000);
        expect(table.row.monthLeasedBytes).toBeGreaterThanOrEqual(monthLeasedBytes);
    });

    it("leases a rate a second time that another VM has leased since the copy of the table service", () => {
        const table = new FakeTable();
        const [first, second] = [createProxy(0), createProxy(0)];
        const copy = { row: table.row, version: table.version };
        first.account.demandBytesPerSecond = RATE;
        exchange(first, table, 0);
        second.account.demandBytesPerSecond = RATE;
        exchange(second, table, 0);
        Object.assign(table, copy, { era: 2 });
        second.account.demandBytesPerSecond = RATE;
        exchange(second, table, second.account.lease.renewAtMs);
        const rates = Object.values(table.row.leases).map(({ bytesPerSecond }) => bytesPerSecond);
        expect(rates).toHaveLength(2);
        expect(rates.reduce((sum, rate) => sum + rate)).toBeLessThanOrEqual(limits.leasableBytesPerSecond);
    });

    it("uses the lower of both rates until the outcome of a change is known", () => {
        const table = new FakeTable();
        const proxy = createProxy(0);
        const { account } = proxy;
        account.demandBytesPerSecond = 10_000;
        exchange(proxy, table, 0);
        const firstRate = account.lease.bytesPerSecond;
        account.demandBytesPerSecond = 50_000;
        exchange(proxy, table, 3_000, "answerLost");
        expect([firstRate, account.lease.bytesPerSecond]).toEqual([12_500, 12_500]);
        exchange(proxy, table, 3_100);
        expect(account.lease.bytesPerSecond).toBeGreaterThan(25_000);
        account.demandBytesPerSecond = 20_000;
        exchange(proxy, table, account.lease.renewAtMs, "requestLost");
        expect(account.lease.bytesPerSecond).toBeLessThanOrEqual(25_000);
    });

    it("lets one proxy with all the demand use 90% of the approved rate, and of the amount", () => {
        const table = new FakeTable();
        const check = new WindowCheck();
        const proxies = Array.from({ length: VM_COUNT }, () => createProxy(0));
        const fromMs = 20_000;
        const toMs = 120_000;
        let measuredBytes = 0;
        for (let nowMs = 0; nowMs < 400_000; nowMs += STEP_MS) {
            proxies.forEach(proxy => exchange(proxy, table, nowMs));
            for (let turn = 0; turn < 20; turn++) {
                if (chargeLink(proxies[0]!.account, 0, 1_000, 1, nowMs) === ResultCode.Ok) {
                    check.add(1_000, nowMs);
                    measuredBytes += nowMs >= fromMs && nowMs < toMs ? 1_000 : 0;
                }
            }
        }
        expect(measuredBytes / (RATE * (toMs - fromMs) / 1_000)).toBeGreaterThanOrEqual(0.9);
        expect(check.totalBytes / MONTH_BYTES).toBeGreaterThanOrEqual(0.9);
    });

    it("refuses the most urgent rank last", () => {
        const account = createLinkAccount("vm#a", { ...limits, fallbackBytesPerSecond: 1_000 }, 0);
        const served = [0, 0, 0];
        for (let nowMs = 1_000; nowMs < 101_000; nowMs += STEP_MS) {
            for (const rank of [2, 1, 0]) {
                served[rank]! += Number(chargeLink(account, rank, 50, 1, nowMs) === ResultCode.Ok);
            }
        }
        expect(served[0]).toBe(1_000);
        expect(served[1]).toBeGreaterThan(served[2]!);
    });

    it("writes a link's row at most about 4 times a second with 225 senders", () => {
        const table = new FakeTable();
        const proxies = Array.from({ length: 225 }, () => createProxy(0));
        const measuredFromMs = 200_000;
        let writesBefore = 0;
        for (let nowMs = 0; nowMs < 400_000; nowMs += STEP_MS) {
            proxies.forEach(proxy => {
                chargeLink(proxy.account, 0, 100, 1, nowMs);
                exchange(proxy, table, nowMs);
            });
            writesBefore = nowMs < measuredFromMs ? table.writeCount : writesBefore;
        }
        expect((table.writeCount - writesBefore) / ((400_000 - measuredFromMs) / 1_000)).toBeLessThanOrEqual(5);
    });
});
