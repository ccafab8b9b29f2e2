import { ResultCode } from "@pomeloturn/errors/ResultCode";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    ApplyRunner,
    createConfiguredPlatform,
    createFinanceFile,
    createFirstServiceFile,
    createSecondServiceFile,
    executeAction,
    FAILED_EVENT,
    FINANCE_FILE_NAME,
    FIRST_FILE_NAME,
    readFiles,
    readHistory,
    SECOND_FILE_NAME,
    STEP_LIMIT,
} from "../../../../tests/support/applyFixture.ts";
import type { ApplyAction } from "./applyMessages.ts";
import { HEAD_KEY, type HistoryEntry, parseHead } from "./ConfigHead.ts";

const SEED = 5_042;
const RUN_COUNT = 2_000;

/** What befalls an action: answered, its answer lost, itself lost, or itself late with its answer lost. */
const Fate = { Answered: 0, AnswerLost: 1, RequestLost: 2, RequestLate: 3 } as const;

const editArbitrary = fc.record({
    changed: fc.subarray([FIRST_FILE_NAME, SECOND_FILE_NAME, FINANCE_FILE_NAME], { minLength: 1 }),
    /** The second edit of an operator starts from the version that the first one ended with, or from version 1. */
    isStale: fc.boolean(),
});

const stepArbitrary = fc.record({
    operator: fc.nat({ max: 2 }),
    fate: fc.oneof({ weight: 6, arbitrary: fc.constant(Fate.Answered) }, fc.constantFrom(...Object.values(Fate))),
    isLateArriving: fc.boolean(),
});

interface Run {
    readonly operator: ApplyRunner;
    readonly base: ReadonlyMap<string, string>;
    readonly edited: ReadonlyMap<string, string>;
}

describe("operators that race each other while answers are lost, late and repeated", () => {
    it("puts every accepted edit in force exactly once and reverts none", () => {
        fc.assert(
            fc.property(
                fc.array(fc.array(editArbitrary, { minLength: 1, maxLength: 2 }), { minLength: 2, maxLength: 3 }),
                fc.array(stepArbitrary, { maxLength: 60 }),
                (edits, steps) => {
                    const race = Race.create(edits);
                    steps.forEach(step => race.step(step.operator % edits.length, step.fate, step.isLateArriving));
                    race.finish();
                    race.check();
                },
            ),
            { seed: SEED, numRuns: RUN_COUNT },
        );
    });
});

class Race {
    private readonly platform = createConfiguredPlatform();
    private readonly runs: Run[] = [];
    private readonly current: (Run | undefined)[] = [];
    private readonly late: ApplyAction[] = [];

    private constructor(private readonly waiting: { changed: string[]; isStale: boolean; }[][]) {
        waiting.forEach((_each, index) => this.startNext(index));
    }

    static create(edits: readonly (readonly { changed: string[]; isStale: boolean; }[])[]): Race {
        return new Race(edits.map(each => [...each]));
    }

    step(index: number, fate: number, isLateArriving: boolean): void {
        const arriving = isLateArriving ? this.late.shift() : undefined;
        if (arriving !== undefined) {
            executeAction(this.platform, arriving);
        }
        const operator = this.current[index]?.operator;
        if (operator === undefined) {
            return;
        }
        if (fate === Fate.RequestLate) {
            this.late.push(operator.action);
        }
        if (fate >= Fate.RequestLost) {
            operator.receive(FAILED_EVENT);
        }
        else {
            operator.step(fate === Fate.AnswerLost);
        }
        if (operator.outcome !== undefined) {
            this.startNext(index);
        }
    }

    finish(): void {
        for (let step = 0; step < STEP_LIMIT; step++) {
            this.step(step % this.current.length, Fate.Answered, true);
        }
        expect(this.current.every(each => each === undefined)).toBe(true);
        expect(this.late).toEqual([]);
    }

    check(): void {
        const history = [...readHistory(this.platform)].reverse();
        expect(history.map(({ version }) => version)).toEqual(history.map((_each, index) => index + 1));
        for (const entry of history.slice(1)) {
            this.checkEntry(entry);
        }
        for (const { operator } of this.runs) {
            const entries = history.filter(({ applyId }) => applyId === operator.state.applyId).length;
            const outcome = operator.outcome!;
            const expected = outcome.isAccepted ? [1] : outcome.code === ResultCode.StoreUnavailable ? [0, 1] : [0];
            expect(expected).toContain(entries);
            // A lost race is no reason to refuse: only an edit of the same file is.
            expect(outcome).not.toMatchObject({ detail: expect.stringContaining("came first") as string });
        }
        const head = parseHead(this.platform.readRows([HEAD_KEY])[0]!);
        expect(head).toMatchObject({ version: history.length, objectName: history.at(-1)!.objectName });
    }

    /** A version changes only files that its edit changed, and only from the text that the edit started from. */
    private checkEntry({ version, applyId, changedFiles }: HistoryEntry): void {
        const run = this.runs.find(({ operator }) => operator.state.applyId === applyId)!;
        const [before, after] = [readFiles(this.platform, version - 1), readFiles(this.platform, version)];
        for (const name of new Set([...before.keys(), ...after.keys()])) {
            const isChanged = before.get(name) !== after.get(name);
            expect(changedFiles.includes(name)).toBe(isChanged);
            if (isChanged) {
                expect(before.get(name)).toBe(run.base.get(name));
                expect(after.get(name)).toBe(run.edited.get(name));
            }
        }
        for (const [name, text] of run.edited) {
            if (text !== run.base.get(name)) {
                expect(after.get(name)).toBe(text);
            }
        }
    }

    private startNext(index: number): void {
        const ended = this.current[index]?.operator.outcome;
        const next = this.waiting[index]!.shift();
        if (next === undefined) {
            this.current[index] = undefined;
            return;
        }
        const baseVersion = ended?.isAccepted === true && !next.isStale ? ended.headVersion : 1;
        const base = readFiles(this.platform, baseVersion);
        const marker = this.runs.length + 1;
        const texts: Readonly<Record<string, string>> = {
            [FIRST_FILE_NAME]: createFirstServiceFile(`m${marker}`).text,
            [SECOND_FILE_NAME]: createSecondServiceFile(`m${marker}`).text,
            [FINANCE_FILE_NAME]: createFinanceFile(marker).text,
        };
        const edited = new Map([...base, ...next.changed.map(name => [name, texts[name]!] as const)]);
        const files = [...edited].map(([name, text]) => ({ name, text }));
        const run = { operator: new ApplyRunner(this.platform, `operator-${index}`, baseVersion, files), base, edited };
        this.runs.push(run);
        this.current[index] = run;
    }
}
