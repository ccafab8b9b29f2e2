import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import type { AllowanceDecision, TeamTable } from "@pomeloturn/types/Teams";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { SessionRunner } from "./SessionRunner.ts";
import { createTestPorts, createTestRoutes, TEST_DATABASE } from "./support/createTestPorts.ts";
import { ScriptedInstance } from "./support/ScriptedInstance.ts";

const TIMEOUT_MS = 2_000;
const KEY = "key-1";
const GRANTED: AllowanceDecision = { isGranted: true };
const REFUSED: AllowanceDecision = { isGranted: false, retryAfterMs: 120 };

const createTeams = (teamNamesByKey: readonly (readonly [string, string])[]): TeamTable => ({
    teams: new Map(["falcon", "heron"].map(name => [name, { name, operationsPerS: 10, burstOperations: 10 }])),
    teamNamesByKey: new Map(teamNamesByKey),
});

const createStatement = (id: string, kind: StatementKind): Statement => ({ id, kind, text: id, name: id, argument: "", isWrite: false });

let instance: ScriptedInstance;
let ports: RunnerPorts;
/** Teams for which an operation was asked for, in order. */
let askedTeams: string[];
/** Decides about an allowance. @param count number of operations that were asked for */
let decide: (count: number) => AllowanceDecision | Promise<AllowanceDecision>;
let version: number;

/** Activates a configuration with other keys. */
const applyKeys = (...teamNamesByKey: (readonly [string, string])[]): void => {
    ports.directory.applyRoutes(createTestRoutes(TIMEOUT_MS, { version: ++version, teams: createTeams(teamNamesByKey) }));
};

const createRunner = (): SessionRunner => SessionRunner.create(TEST_DATABASE, KEY, ports);

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
    instance = new ScriptedInstance();
    askedTeams = [];
    decide = () => GRANTED;
    version = 1;
    ports = {
        ...createTestPorts(instance.open, TIMEOUT_MS, { teams: createTeams([[KEY, "falcon"]]) }),
        takeAllowance: async team => decide(askedTeams.push(team)),
    };
});
afterEach(() => {
    vi.useRealTimers();
});

/** Runs a statement and advances the time until it is answered. */
const run = async (runner: SessionRunner, id: string, kind: StatementKind): ReturnType<SessionRunner["run"]> => {
    const reply = runner.run(createStatement(id, kind));
    await vi.advanceTimersByTimeAsync(100);
    return reply;
};

describe("allowances", () => {
    it("a transaction takes more than one operation, or one before its first statement goes to an instance", async () => {
        const runner = createRunner();
        await run(runner, "begin", StatementKind.Begin);
        await run(runner, "set", StatementKind.Set);
        expect(askedTeams).toEqual([]);
        await run(runner, "read", StatementKind.Read);
        await run(runner, "write", StatementKind.Write);
        await run(runner, "commit", StatementKind.Commit);
        expect(askedTeams).toEqual(["falcon"]);
        expect(instance.statementIds).toEqual(["read", "write", "commit"]);
        await run(runner, "begin", StatementKind.Begin);
        await run(runner, "next", StatementKind.Read);
        expect(askedTeams).toEqual(["falcon", "falcon"]);
    });

    it.each([
        [StatementKind.Read, false],
        [StatementKind.Write, false],
        [StatementKind.Write, true],
    ])(
        "a %s of a caller that disconnected while its allowance was asked for is sent; in a transaction: %s",
        async (kind, isInTransaction) => {
            let grant: (decision: AllowanceDecision) => void = () => {};
            decide = () => new Promise(resolve => grant = resolve);
            const runner = createRunner();
            if (isInTransaction) {
                await run(runner, "begin", StatementKind.Begin);
            }
            void runner.run(createStatement("gone", kind));
            await vi.advanceTimersByTimeAsync(5);
            expect(askedTeams).toEqual(["falcon"]);
            runner.close();
            grant(GRANTED);
            await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
            expect(instance.statementIds).toEqual([]);
        },
    );

    it.each([StatementKind.Read, StatementKind.Write])("a refused %s is sent, or answered without the time to wait", async kind => {
        decide = () => REFUSED;
        const reply = await run(createRunner(), "refused", kind);
        expect(reply).toMatchObject({ code: ResultCode.AllowanceExhausted, status: TransactionStatus.Idle, retryAfterMs: 120 });
        expect(instance.statementIds).toEqual([]);
    });

    it("a transaction goes on after its first statement was refused", async () => {
        decide = count => count === 1 ? REFUSED : GRANTED;
        const runner = createRunner();
        await run(runner, "begin", StatementKind.Begin);
        const refused = await run(runner, "refused", StatementKind.Write);
        expect(refused).toMatchObject({ code: ResultCode.AllowanceExhausted, status: TransactionStatus.Failed });
        expect((await run(runner, "next", StatementKind.Write)).status).toBe(TransactionStatus.Failed);
        expect(await run(runner, "commit", StatementKind.Commit)).toMatchObject({ code: ResultCode.TransactionLost });
        expect(instance.statementIds).toEqual([]);
    });

    it("a caller is told to wait without end because the team's limit is 0", async () => {
        decide = () => ({ isGranted: false, retryAfterMs: Infinity });
        const { retryAfterMs } = await run(createRunner(), "refused", StatementKind.Read);
        expect(retryAfterMs).toBeLessThanOrEqual(60_000);
    });

    it("a caller without a team is refused for want of an allowance", async () => {
        decide = () => REFUSED;
        ports.directory.applyRoutes(createTestRoutes(TIMEOUT_MS, { version: 2 }));
        expect((await run(createRunner(), "read", StatementKind.Read)).code).toBe(ResultCode.Ok);
        expect(askedTeams).toEqual([]);
    });
});

describe("keys", () => {
    it("a statement that was sent before the removal of its key is not answered, or a later one runs", async () => {
        instance.answerStatement = () => ({ delayMs: 50 });
        const runner = createRunner();
        const reply = runner.run(createStatement("before", StatementKind.Write));
        await vi.advanceTimersByTimeAsync(20);
        expect(instance.statementIds).toEqual(["before"]);
        applyKeys();
        await vi.advanceTimersByTimeAsync(100);
        expect((await reply).code).toBe(ResultCode.Ok);
        expect(runner.isAuthenticated).toBe(false);
        expect((await run(runner, "after", StatementKind.Write)).code).toBe(ResultCode.AuthenticationFailed);
        expect((await run(runner, "begin", StatementKind.Begin)).code).toBe(ResultCode.AuthenticationFailed);
        expect(instance.statementIds).toEqual(["before"]);
    });

    it("an operation takes the allowance of the key's former team", async () => {
        const runner = createRunner();
        await run(runner, "before", StatementKind.Write);
        applyKeys([KEY, "heron"]);
        await run(runner, "after", StatementKind.Write);
        expect(askedTeams).toEqual(["falcon", "heron"]);
    });

    it("a transaction goes on after it has expired", async () => {
        const runner = createRunner();
        await run(runner, "begin", StatementKind.Begin);
        await run(runner, "write", StatementKind.Write);
        applyKeys();
        expect((await run(runner, "soon-after", StatementKind.Write)).code).toBe(ResultCode.Ok);
        runner.expireTransaction();
        await vi.advanceTimersByTimeAsync(10);
        expect(instance.rollbackCount).toBe(1);
        expect((await run(runner, "commit", StatementKind.Commit)).code).toBe(ResultCode.TransactionLost);
        expect(instance.statementIds).toEqual(["write", "soon-after"]);
    });

    it("a statement after the transaction has expired is answered as if the caller had made a mistake", async () => {
        const runner = createRunner();
        await run(runner, "begin", StatementKind.Begin);
        await run(runner, "write", StatementKind.Write);
        applyKeys();
        runner.expireTransaction();
        const reply = await run(runner, "next", StatementKind.Write);
        expect(reply).toMatchObject({ code: ResultCode.TransactionLost, status: TransactionStatus.Failed });
        expect(await run(runner, "rollback", StatementKind.Rollback)).toMatchObject({
            code: ResultCode.Ok,
            status: TransactionStatus.Idle,
        });
    });

    it("a statement that runs when its transaction expires is not answered, or its transaction goes on", async () => {
        instance.answerStatement = () => ({ delayMs: 50 });
        const runner = createRunner();
        await run(runner, "begin", StatementKind.Begin);
        const reply = runner.run(createStatement("running", StatementKind.Write));
        await vi.advanceTimersByTimeAsync(20);
        applyKeys();
        runner.expireTransaction();
        await vi.advanceTimersByTimeAsync(100);
        expect(await reply).toMatchObject({ code: ResultCode.Ok, status: TransactionStatus.Failed });
        expect(instance.rollbackCount).toBe(1);
        expect((await run(runner, "commit", StatementKind.Commit)).code).toBe(ResultCode.TransactionLost);
    });

    it("a later transaction expires because an earlier one expired while its allowance was asked for and refused", async () => {
        let answer: (decision: AllowanceDecision) => void = () => {};
        decide = count => count > 1 ? GRANTED : new Promise(resolve => answer = resolve);
        const runner = createRunner();
        await run(runner, "begin", StatementKind.Begin);
        const refused = runner.run(createStatement("refused", StatementKind.Write));
        await vi.advanceTimersByTimeAsync(1);
        runner.expireTransaction();
        answer(REFUSED);
        expect((await refused).status).toBe(TransactionStatus.Failed);
        await run(runner, "rollback", StatementKind.Rollback);
        await run(runner, "begin", StatementKind.Begin);
        expect(await run(runner, "next", StatementKind.Write)).toMatchObject({ code: ResultCode.Ok, status: TransactionStatus.Open });
    });
});

describe("second attempts of a read", () => {
    const NOT_RUN_CODES = [ResultCode.QueueFull, ResultCode.ReplicaBehind, ResultCode.NotPrimary];
    const RUN_CODES = [ResultCode.BackendLost, ResultCode.StatementFailed, ResultCode.DeadlineWhileRunning];

    const answerFirstWith = (code: number): void => {
        instance.answerStatement = (_id, count) => count === 1 ? { code } : {};
    };

    it.each(RUN_CODES)("a read that may have run (result %i) is repeated without an operation of the allowance", async code => {
        answerFirstWith(code);
        const reply = createRunner().run(createStatement("read", StatementKind.Read));
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
        expect((await reply).code).toBe(ResultCode.Ok);
        expect(instance.statementIds).toEqual(["read", "read"]);
        expect(askedTeams).toEqual(["falcon", "falcon"]);
    });

    it.each([
        [ResultCode.BackendLost, ResultCode.DeadlineWhileRunning],
        [ResultCode.StatementFailed, ResultCode.StatementFailed],
    ])("a read that may have run (result %i) is repeated although the allowance was refused", async (code, expected) => {
        answerFirstWith(code);
        decide = count => count === 1 ? GRANTED : REFUSED;
        const startedAtMs = performance.now();
        let answeredAtMs = Infinity;
        const reply = createRunner().run(createStatement("read", StatementKind.Read));
        void reply.then(() => answeredAtMs = performance.now());
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
        expect((await reply).code).toBe(expected);
        expect(instance.statementIds).toEqual(["read"]);
        expect(askedTeams).toEqual(["falcon", "falcon"]);
        // The refusal ends the read; its caller does not wait for the limit of the route.
        expect(answeredAtMs - startedAtMs).toBeLessThan(200);
    });

    it.each(NOT_RUN_CODES)("a read that certainly did not run (result %i) takes a further operation", async code => {
        answerFirstWith(code);
        decide = count => count === 1 ? GRANTED : REFUSED;
        const reply = createRunner().run(createStatement("read", StatementKind.Read));
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
        await reply;
        expect(askedTeams).toEqual(["falcon"]);
    });

    it("a read whose BEGIN was refused takes a further operation", async () => {
        instance.refusedBeginCount = 1;
        const reply = createRunner().run(createStatement("read", StatementKind.Read));
        await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
        expect((await reply).code).toBe(ResultCode.Ok);
        expect(instance.statementIds).toEqual(["read"]);
        expect(askedTeams).toEqual(["falcon"]);
    });

    describe("while the first one is slow", () => {
        const FIRST_MS = 600;

        beforeEach(() => {
            const routes = createTestRoutes(TIMEOUT_MS, { version: 2, connectionLimit: 2, teams: createTeams([[KEY, "falcon"]]) });
            ports.directory.applyRoutes(routes);
            instance.answerStatement = (_id, count) => count === 1 ? { delayMs: FIRST_MS } : {};
        });

        it.each([
            { name: "granted", sentCount: 2, second: GRANTED },
            { name: "refused", sentCount: 1, second: REFUSED },
        ])("a read whose second operation is $name does not send $sentCount attempts", async ({ sentCount, second }) => {
            decide = count => count === 1 ? GRANTED : second;
            const reply = createRunner().run(createStatement("read", StatementKind.Read));
            await vi.advanceTimersByTimeAsync(FIRST_MS - 50);
            expect(instance.statementIds.length).toBe(sentCount);
            await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
            expect((await reply).code).toBe(ResultCode.Ok);
            expect(instance.statementIds.length).toBe(sentCount);
            expect(askedTeams).toEqual(["falcon", "falcon"]);
        });

        it("the first answer waits for the allowance of a second attempt", async () => {
            decide = count => count === 1 ? GRANTED : new Promise(() => {});
            const startedAtMs = performance.now();
            let answeredAtMs = Infinity;
            const reply = createRunner().run(createStatement("read", StatementKind.Read));
            void reply.then(() => answeredAtMs = performance.now());
            await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
            expect(answeredAtMs - startedAtMs).toBeLessThan(FIRST_MS + 50);
            expect(instance.statementIds).toEqual(["read"]);
        });
    });
});
