import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { RowsAnswer, StorePoint, StoreRow } from "@pomeloturn/types/StoreRow";
import { describe, expect, it } from "vitest";
import { followTable } from "./followTable.ts";

const row = (key: string, version: number): StoreRow => ({ key, value: "", version, isDeleted: false });

/** Answer of the store to one call: rows and version, a lost change history, or an error. */
type Answer = RowsAnswer | "gone" | "down";

const follow = async (tables: readonly Answer[], feeds: readonly Answer[]): Promise<readonly string[]> => {
    const seen: string[] = [];
    const stopping = new AbortController();
    const take = (answers: Answer[], name: string): Promise<RowsAnswer | undefined> => {
        const answer = answers.shift();
        if (answer === undefined) {
            stopping.abort();
            return Promise.resolve({ rows: [], era: 1, version: 0 });
        }
        seen.push(name);
        return answer === "down"
            ? Promise.reject(PomeloturnError.create(ResultCode.StoreUnavailable))
            : Promise.resolve(answer === "gone" ? undefined : answer);
    };
    const [tableAnswers, feedAnswers] = [[...tables], [...feeds]];
    const reader = {
        readTable: () => take(tableAnswers, "read").then(answer => answer!),
        readChanges: (_table: string, after: StorePoint, waitMs: number) => take(feedAnswers, `feed after ${after.version} for ${waitMs}`),
    };
    await followTable(reader, {
        table: "t",
        waitMs: 5_000,
        batchDelayMs: 0,
        nowMs: () => performance.now(),
        signal: stopping.signal,
        onSnapshot: rows => seen.push(`all ${rows.map(({ key }) => key).join(" ")}`),
        onChanges: rows => seen.push(`changed ${rows.map(({ key }) => key).join(" ")}`),
        onReachabilityChange: isReachable => seen.push(isReachable ? "up" : "down"),
        onUnexpectedError: error => {
            throw error;
        },
    });
    return seen;
};

describe("followTable", () => {
    it("reads the complete table, then its changes", async () => {
        const seen = await follow([{ rows: [row("a", 1)], era: 1, version: 4 }], [{ rows: [row("b", 5)], era: 1, version: 5 }, {
            rows: [],
            era: 1,
            version: 8,
        }]);
        expect(seen).toEqual(["read", "all a", "feed after 4 for 5000", "changed b", "feed after 5 for 5000"]);
    });

    it("reads the complete table again when the change history is lost", async () => {
        const seen = await follow([{ rows: [], era: 1, version: 4 }, { rows: [row("c", 9)], era: 1, version: 9 }], ["gone"]);
        expect(seen).toEqual(["read", "all ", "feed after 4 for 5000", "read", "all c"]);
    });

    it("resumes at the last version after an outage, with a short call first", async () => {
        const seen = await follow([{ rows: [], era: 1, version: 4 }], ["down", { rows: [], era: 1, version: 4 }, {
            rows: [row("d", 6)],
            era: 1,
            version: 6,
        }]);
        expect(seen).toEqual([
            "read",
            "all ",
            "feed after 4 for 5000",
            "down",
            "feed after 4 for 300",
            "up",
            "feed after 4 for 5000",
            "changed d",
        ]);
    });
});

it("goes on from the same point when an error is thrown while rows are applied", async () => {
    const stopping = new AbortController();
    const points: number[] = [];
    const errors: string[] = [];
    const answers: RowsAnswer[] = [{ rows: [row("b", 2)], era: 1, version: 2 }, { rows: [row("c", 3)], era: 1, version: 3 }];
    const reader = {
        readTable: () => Promise.resolve({ rows: [row("a", 1)], era: 1, version: 1 }),
        readChanges: (_table: string, after: StorePoint) => {
            points.push(after.version);
            const answer = answers.shift();
            if (answer === undefined) {
                stopping.abort();
            }
            return Promise.resolve(answer ?? { rows: [], era: 1, version: after.version });
        },
    };
    const failToApply = (): void => {
        throw new Error("a row cannot be applied");
    };
    await followTable(reader, {
        table: "t",
        waitMs: 5_000,
        batchDelayMs: 0,
        nowMs: () => performance.now(),
        signal: stopping.signal,
        onSnapshot: failToApply,
        onChanges: failToApply,
        onReachabilityChange: isReachable => errors.push(`reachable: ${isReachable}`),
        onUnexpectedError: error => errors.push(error.message),
    });
    expect(points).toEqual([1, 2, 3]);
    expect(errors).toEqual(Array.from({ length: 3 }, () => "a row cannot be applied"));
});
