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

/** Delivery of an action: answered, answer lost, request lost, or request delayed with its answer lost. */
const Delivery = { Answered: 0, AnswerLost: 1, RequestLost: 2, RequestDelayed: 3 } as const;

const editArbitrary = fc.record({
    changed: fc.subarray([FIRST_FILE_NAME, SECOND_FILE_NAME, FINANCE_FILE_NAME], { minLength: 1 }),
    /** Whether an operator's second edit starts from version 1 instead of the version that its first edit ended with. */
    isStale: fc.boolean(),
});

const stepArbitrary = fc.record({
    operator: fc.nat({ max: 2 }),
    delivery: fc.oneof({ weight: 6, arbitrary: fc.constant(Delivery.Answered) }, fc.constantFrom(...Object.values(Delivery))),
    isDelayedDelivered: fc.boolean(),
});

interface Run {
    readonly operator: ApplyRunner;
    readonly base: ReadonlyMap<string, string>;
    readonly edited: ReadonlyMap<string, string>;
}

describe("concurrent applies by several operators with lost, delayed and repeated requests", () => {
    it("applies every accepted edit exactly once and reverts none", () => {
        fc.assert(
            fc.property(
                fc.array(fc.array(editArbitrary, { minLength: 1, maxLength: 2 }), { minLength: 2, maxLength: 3 }),
                fc.array(stepArbitrary, { maxLength: 60 }),
                (edits, steps) => {
                    const race = Race.create(edits);
                    steps.forEach(step => race.step(step.operator % edits.length, step.delivery, step.isDelayedDelivered));
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
    private readonly delayed: ApplyAction[] = [];

    private constructor(private readonly pendingEdits: { changed: string[]; isStale: boolean; }[][]) {
        pendingEdits.forEach((_each, index) => this.startNext(index));
    }

    static create(edits: readonly (readonly { changed: string[]; isStale: boolean; }[])[]): Race {
        return new Race(edits.map(each => [...each]));
    }

    step(index: number, delivery: number, isDelayedDelivered: boolean): void {
        const delivered = isDelayedDelivered ? this.delayed.shift() : undefined;
        if (delivered !== undefined) {
            executeAction(this.platform, delivered);
        }
        const operator = this.current[index]?.operator;
        if (operator === undefined) {
            return;
        }
        if (delivery === Delivery.RequestDelayed) {
            this.delayed.push(operator.action);
        }
        if (delivery >= Delivery.RequestLost) {
            operator.receive(FAILED_EVENT);
        }
        else {
            operator.step(delivery === Delivery.AnswerLost);
        }
        if (operator.outcome !== undefined) {
            this.startNext(index);
        }
    }

    finish(): void {
        for (let step = 0; step < STEP_LIMIT; step++) {
            this.step(step % this.current.length, Delivery.Answered, true);
        }
        expect(this.current.every(each => each === undefined)).toBe(true);
        expect(this.delayed).toEqual([]);
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
            // An apply is refused for a conflicting edit of the same file, never for losing too many races.
            expect(outcome).not.toMatchObject({ detail: expect.stringContaining("written first") as string });
        }
        const head = parseHead(this.platform.readRows([HEAD_KEY])[0]!);
        expect(head).toMatchObject({ version: history.length, objectName: history.at(-1)!.objectName });
    }

    /** Checks that a version changes only files that its edit changed, and only from the text in the edit's base version. */
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
        const endedOutcome = this.current[index]?.operator.outcome;
        const next = this.pendingEdits[index]!.shift();
        if (next === undefined) {
            this.current[index] = undefined;
            return;
        }
        const baseVersion = endedOutcome?.isAccepted === true && !next.isStale ? endedOutcome.headVersion : 1;
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
