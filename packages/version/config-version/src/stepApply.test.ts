import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { describe, expect, it } from "vitest";
import {
    FAILED,
    file,
    FINANCE,
    finance,
    FIRST,
    first,
    FOLDER,
    Operator,
    prepare,
    readFiles,
    readHistory,
    replace,
    SECOND,
    second,
    serviceFile,
    SHARE,
} from "../../../../tests/support/applyFixture.ts";
import { ApplyActionKind } from "./applyMessages.ts";

type Edit = readonly [base: number | undefined, files: readonly ConfigFile[]];

describe("edits that are applied one after the other", () => {
    it.each<[name: string, edits: readonly Edit[], expected: object]>([
        ["nothing changed", [[1, FOLDER]], { isAccepted: true, version: 1, isUnchanged: true }],
        ["nothing changed, no base version", [[undefined, FOLDER]], { isAccepted: true, version: 1, isUnchanged: true }],
        ["a change without a base version", [[undefined, replace(FOLDER, first("a"))]], { code: ResultCode.BaseVersionUnknown }],
        ["a removed file without a base version", [[undefined, FOLDER.slice(0, 2)]], { code: ResultCode.BaseVersionUnknown }],
        ["a base version that is not in the history", [[9, replace(FOLDER, first("a"))]], { code: ResultCode.BaseVersionUnknown }],
        ["two operators change different files", [[1, replace(FOLDER, first("a"))], [1, replace(FOLDER, second("b"))]], {
            isAccepted: true,
            version: 3,
        }],
        [
            "two operators change the same file differently",
            [[1, replace(FOLDER, first("a"))], [1, replace(FOLDER, first("b"))]],
            {
                code: ResultCode.ConfigurationConflict,
                detail: "20-first.json was changed by operator-0 in version 2: 20-first.json at /services/first/user: \"editor\" -> \"a\"",
            },
        ],
        ["the second change of a file starts from the first one's version", [[1, replace(FOLDER, first("a"))], [
            2,
            replace(FOLDER, first("b")),
        ]], {
            isAccepted: true,
            version: 3,
        }],
        ["two operators apply the same edit", [[1, replace(FOLDER, first("a"))], [1, replace(FOLDER, first("a"))]], {
            version: 2,
            isUnchanged: true,
        }],
        ["one operator removes a file that another changed", [[1, replace(FOLDER, second("a"))], [
            1,
            FOLDER.filter(({ name }) => name !== SECOND),
        ]], {
            code: ResultCode.ConfigurationConflict,
        }],
        ["a file is removed", [[1, FOLDER.filter(({ name }) => name !== SECOND)]], { isAccepted: true, version: 2 }],
        ["an invalid file", [[1, replace(FOLDER, first(""))]], { code: ResultCode.ConfigurationInvalid }],
        ["a file that changes its owner", [[1, replace(FOLDER, file(FINANCE, {}))]], { code: ResultCode.OwnerConflict }],
        [
            "link shares in two files whose sum exceeds the approved rate",
            [
                [1, replace(FOLDER, serviceFile(FIRST, "first", { linkShares: [SHARE] }))],
                [1, replace(FOLDER, serviceFile(SECOND, "second", { linkShares: [SHARE] }))],
            ],
            {
                code: ResultCode.ApprovedAmountExceeded,
                detail: expect.stringContaining("a total of 120 bytes/s is requested, but only 100 bytes/s is approved") as string,
            },
        ],
        [
            "finance approves less than services request",
            [[1, replace(FOLDER, serviceFile(FIRST, "first", { linkShares: [SHARE] }))], [1, replace(FOLDER, finance(59))]],
            { code: ResultCode.ApprovedAmountExceeded },
        ],
    ])("%s", (_name, edits, expected) => {
        const platform = prepare();
        const outcomes = edits.map(([base, files], index) => new Operator(platform, `operator-${index}`, base, files).finish());
        expect(outcomes.at(-1)).toMatchObject(expected);
    });
});

describe("lost answers", () => {
    it.each([1, 2, 3, 4, 5, 6, 7])("applies the edit once and reports success after %i lost answers to the transaction", losses => {
        const platform = prepare();
        const operator = new Operator(platform, "second", 1, replace(FOLDER, first("a")));
        while (operator.action.kind !== ApplyActionKind.Transact) {
            operator.step();
        }
        for (let loss = 0; loss < losses; loss++) {
            operator.step(true);
        }
        expect(new Operator(platform, "third", 2, replace(FOLDER, first("b"))).finish()).toMatchObject({ isAccepted: true, version: 3 });
        expect(operator.finish()).toMatchObject({ isAccepted: true, version: 2 });
        expect(readFiles(platform, 3).get(FIRST)).toBe(first("b").text);
    });

    it("reports an unknown outcome when every answer is lost, and a second apply finds the first one's result", () => {
        const platform = prepare();
        const files = replace(FOLDER, first("a"));
        const operator = new Operator(platform, "second", 1, files);
        while (operator.outcome === undefined) {
            operator.step(operator.action.kind === ApplyActionKind.Transact);
        }
        expect(operator.outcome).toMatchObject({
            code: ResultCode.StoreUnavailable,
            detail: expect.stringContaining("not known") as string,
        });
        new Operator(platform, "third", 2, replace(FOLDER, first("b"))).finish();
        expect(new Operator(platform, "second", 1, files).finish()).toMatchObject({ isAccepted: true, version: 2, headVersion: 3 });
        expect(readHistory(platform)).toHaveLength(3);
    });

    it("reports that nothing was applied when the store is down", () => {
        const operator = new Operator(prepare(), "second", 1, replace(FOLDER, first("a")));
        while (operator.outcome === undefined) {
            operator.receive(FAILED);
        }
        expect(operator.outcome).toMatchObject({ code: ResultCode.StoreUnavailableBeforeRun });
    });
});
