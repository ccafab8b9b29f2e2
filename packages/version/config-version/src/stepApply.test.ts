import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { describe, expect, it } from "vitest";
import {
    ApplyRunner,
    createConfigFile,
    createConfiguredPlatform,
    createFinanceFile,
    createFirstServiceFile,
    createSecondServiceFile,
    createServiceFile,
    FAILED_EVENT,
    FINANCE_FILE_NAME,
    FIRST_FILE_NAME,
    LINK_SHARE,
    readFiles,
    readHistory,
    replaceFiles,
    SAMPLE_FILES,
    SECOND_FILE_NAME,
} from "../../../../tests/support/applyFixture.ts";
import { ApplyActionKind } from "./applyMessages.ts";

type Edit = readonly [base: number | undefined, files: readonly ConfigFile[]];

describe("edits that are applied one after the other", () => {
    it.each<[name: string, edits: readonly Edit[], expected: object]>([
        ["nothing changed", [[1, SAMPLE_FILES]], { isAccepted: true, version: 1, isUnchanged: true }],
        ["nothing changed, no base version", [[undefined, SAMPLE_FILES]], { isAccepted: true, version: 1, isUnchanged: true }],
        ["a change without a base version", [[undefined, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))]], {
            code: ResultCode.BaseVersionUnknown,
        }],
        ["a removed file without a base version", [[undefined, SAMPLE_FILES.slice(0, 2)]], { code: ResultCode.BaseVersionUnknown }],
        ["a base version that is not in the history", [[9, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))]], {
            code: ResultCode.BaseVersionUnknown,
        }],
        ["two operators change different files", [[1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))], [
            1,
            replaceFiles(SAMPLE_FILES, createSecondServiceFile("b")),
        ]], {
            isAccepted: true,
            version: 3,
        }],
        [
            "two operators change the same file differently",
            [[1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))], [1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("b"))]],
            {
                code: ResultCode.ConfigurationConflict,
                detail: "20-first.json was changed by operator-0 in version 2: 20-first.json at /services/first/user: \"editor\" -> \"a\"",
            },
        ],
        ["the second change of a file starts from the first one's version", [[1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))], [
            2,
            replaceFiles(SAMPLE_FILES, createFirstServiceFile("b")),
        ]], {
            isAccepted: true,
            version: 3,
        }],
        ["two operators apply the same edit", [[1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))], [
            1,
            replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")),
        ]], {
            version: 2,
            isUnchanged: true,
        }],
        ["one operator removes a file that another changed", [[1, replaceFiles(SAMPLE_FILES, createSecondServiceFile("a"))], [
            1,
            SAMPLE_FILES.filter(({ name }) => name !== SECOND_FILE_NAME),
        ]], {
            code: ResultCode.ConfigurationConflict,
        }],
        ["a file is removed", [[1, SAMPLE_FILES.filter(({ name }) => name !== SECOND_FILE_NAME)]], { isAccepted: true, version: 2 }],
        ["an invalid file", [[1, replaceFiles(SAMPLE_FILES, createFirstServiceFile(""))]], { code: ResultCode.ConfigurationInvalid }],
        ["a file that changes its owner", [[1, replaceFiles(SAMPLE_FILES, createConfigFile(FINANCE_FILE_NAME, {}))]], {
            code: ResultCode.OwnerConflict,
        }],
        [
            "link shares in two files whose sum exceeds the approved rate",
            [
                [1, replaceFiles(SAMPLE_FILES, createServiceFile(FIRST_FILE_NAME, "first", { linkShares: [LINK_SHARE] }))],
                [1, replaceFiles(SAMPLE_FILES, createServiceFile(SECOND_FILE_NAME, "second", { linkShares: [LINK_SHARE] }))],
            ],
            {
                code: ResultCode.ApprovedAmountExceeded,
                detail: expect.stringContaining("a total of 120 bytes/s is requested, but only 100 bytes/s is approved") as string,
            },
        ],
        [
            "finance approves less than services request",
            [[1, replaceFiles(SAMPLE_FILES, createServiceFile(FIRST_FILE_NAME, "first", { linkShares: [LINK_SHARE] }))], [
                1,
                replaceFiles(SAMPLE_FILES, createFinanceFile(59)),
            ]],
            { code: ResultCode.ApprovedAmountExceeded },
        ],
    ])("%s", (_name, edits, expected) => {
        const platform = createConfiguredPlatform();
        const outcomes = edits.map(([base, files], index) => new ApplyRunner(platform, `operator-${index}`, base, files).finish());
        expect(outcomes.at(-1)).toMatchObject(expected);
    });
});

describe("lost answers", () => {
    it.each([1, 2, 3, 4, 5, 6, 7])("applies the edit once and reports success after %i lost answers to the transaction", losses => {
        const platform = createConfiguredPlatform();
        const operator = new ApplyRunner(platform, "second", 1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")));
        while (operator.action.kind !== ApplyActionKind.Transact) {
            operator.step();
        }
        for (let loss = 0; loss < losses; loss++) {
            operator.step(true);
        }
        expect(new ApplyRunner(platform, "third", 2, replaceFiles(SAMPLE_FILES, createFirstServiceFile("b"))).finish()).toMatchObject({
            isAccepted: true,
            version: 3,
        });
        expect(operator.finish()).toMatchObject({ isAccepted: true, version: 2 });
        expect(readFiles(platform, 3).get(FIRST_FILE_NAME)).toBe(createFirstServiceFile("b").text);
    });

    it("reports an unknown outcome when every answer is lost, and a second apply finds the first one's result", () => {
        const platform = createConfiguredPlatform();
        const files = replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"));
        const operator = new ApplyRunner(platform, "second", 1, files);
        while (operator.outcome === undefined) {
            operator.step(operator.action.kind === ApplyActionKind.Transact);
        }
        expect(operator.outcome).toMatchObject({
            code: ResultCode.StoreUnavailable,
            detail: expect.stringContaining("not known") as string,
        });
        new ApplyRunner(platform, "third", 2, replaceFiles(SAMPLE_FILES, createFirstServiceFile("b"))).finish();
        expect(new ApplyRunner(platform, "second", 1, files).finish()).toMatchObject({ isAccepted: true, version: 2, headVersion: 3 });
        expect(readHistory(platform)).toHaveLength(3);
    });

    it("reports that nothing was applied when the store is down", () => {
        const operator = new ApplyRunner(createConfiguredPlatform(), "second", 1, replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")));
        while (operator.outcome === undefined) {
            operator.receive(FAILED_EVENT);
        }
        expect(operator.outcome).toMatchObject({ code: ResultCode.StoreUnavailableBeforeRun });
    });
});
