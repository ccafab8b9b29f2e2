import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { TableResult, TableRow, TableService, TableWrite } from "@pomeloturn/types/Platform";
import { afterEach, describe, expect, it } from "vitest";
import { LinkBudgets } from "./LinkBudgets.ts";

const LINK = { fromRegion: "ro-nord", toRegion: "ro-sud", approvedBytesPerSecond: 1_000_000, approvedBytesPerMonth: 1e12 };
const TRIES = 200;

/** A table of one row that stores the result of each operation. The first `lostAnswers` writes take effect but get no answer. */
class FakeTable implements TableService {
    rows: TableRow[] = [{ key: "link/ro-nord/ro-sud", version: 0, value: "" }];
    lostAnswers = 0;
    private readonly outcomes = new Map<string, TableResult>();

    read(): Promise<readonly TableRow[]> {
        return Promise.resolve(this.rows);
    }

    transact(operationId: string, [write]: readonly TableWrite[]): Promise<TableResult> {
        const isApplied = this.rows[0]!.version === write!.expectedVersion;
        const known = this.outcomes.get(operationId);
        if (known === undefined && isApplied) {
            this.rows = [{ key: write!.key, version: write!.expectedVersion + 1, value: write!.value }];
        }
        const result = known ?? { isApplied, rows: this.rows };
        this.outcomes.set(operationId, result);
        return this.lostAnswers-- > 0 ? Promise.reject(new Error("no answer")) : Promise.resolve(result);
    }
}

describe("LinkBudgets", () => {
    let budgets: LinkBudgets;
    let failedRenewals: string[] = [];
    afterEach(() => budgets.close());

    it.each([0, 2])("leases traffic for its demand when %i answers of the store are lost", async lostAnswers => {
        const table = new FakeTable();
        failedRenewals = [];
        table.lostAnswers = lostAnswers;
        let nowMs = 0;
        budgets = LinkBudgets.create({
            processId: "vm-1#1",
            table,
            links: () => [LINK],
            nowMs: () => nowMs,
            month: () => 24_312,
            onRenewalFailed: link => failedRenewals.push(link),
        });
        expect(budgets.charge("ro-nord", "ro-sud", 0, 1_000)).toBe(ResultCode.LinkBudgetExhausted);
        let code: ResultCode = ResultCode.LinkBudgetExhausted;
        for (let tries = 0; tries < TRIES && code !== ResultCode.Ok; tries++) {
            await new Promise(resolve => setTimeout(resolve, 20));
            nowMs += 50;
            code = budgets.charge("ro-nord", "ro-sud", 0, 1_000);
        }
        expect(code).toBe(ResultCode.Ok);
        expect(failedRenewals).toEqual(Array<string>(lostAnswers).fill("link/ro-nord/ro-sud"));
        expect(table.rows[0]!.version).toBe(1);
        expect(budgets.listUsage()[0]).toMatchObject({ sentBytes: 1_000 });
        expect(budgets.charge("ro-sud", "ro-nord", 0, 1e9)).toBe(ResultCode.Ok);
    });
});
