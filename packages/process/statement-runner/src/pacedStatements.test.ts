import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { SessionRunner } from "./SessionRunner.ts";
import { createTestPorts, TEST_DATABASE } from "./support/createTestPorts.ts";

const TIMEOUT_MS = 1_000;
/** Share of the limit for which a statement may wait before it is sent. */
const SEND_WAIT_MS = 400;

const ok: InstanceReply = { code: ResultCode.Ok, rows: ["row"], proof: "proof", text: "", status: "I", position: { term: 1, position: 1 } };
const delayed = (reply: InstanceReply, delayMs: number): Promise<InstanceReply> =>
    new Promise(resolve => setTimeout(() => resolve(reply), delayMs));
const createStatement = (kind: Statement["kind"]): Statement => ({ id: "x", kind, text: "SQL", name: "", argument: "", isWrite: false });

let code: number = ResultCode.Ok;
let startupCode: number = ResultCode.Ok;
let sentCount = 0;
const openConnection = (): CommandChannel => {
    const answer = (command: InstanceCommand): Promise<InstanceReply> => {
        const isStatement = command.kind === CommandKind.Forward;
        sentCount += isStatement ? 1 : 0;
        return delayed({ ...ok, code: isStatement ? code : ResultCode.Ok }, 5);
    };
    return {
        startupReply: delayed({ ...ok, code: startupCode }, 1),
        isClosed: false,
        outstandingReplyCount: 0,
        send: commands => commands.map(answer),
        close: () => {},
    };
};

beforeEach(() => {
    [code, startupCode, sentCount] = [ResultCode.Ok, ResultCode.Ok, 0];
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

/** Runs statements of different sessions at the same time. @returns the replies with the times that they took */
const runAll = async (
    ports: ReturnType<typeof createTestPorts>,
    kinds: readonly Statement["kind"][],
): Promise<readonly { readonly code: number; readonly tookMs: number; }[]> => {
    const startedAtMs = performance.now();
    const runs = kinds.map(async kind => {
        const reply = await SessionRunner.create(TEST_DATABASE, "", ports).run(createStatement(kind));
        return { code: reply.code, tookMs: performance.now() - startedAtMs };
    });
    await vi.advanceTimersByTimeAsync(2 * TIMEOUT_MS);
    return Promise.all(runs);
};

const KINDS = [StatementKind.Read, StatementKind.Write] as const;

it.each(KINDS)("would fail if a paced %s were held beyond the time that it may wait", async kind => {
    code = ResultCode.QueueFull;
    const replies = await runAll(createTestPorts(openConnection, TIMEOUT_MS, { isPaced: true }), Array.from({ length: 12 }, () => kind));
    expect(replies.every(reply => reply.code === ResultCode.NoInstance)).toBe(true);
    expect(Math.max(...replies.map(({ tookMs }) => tookMs))).toBeLessThanOrEqual(SEND_WAIT_MS + 100);
});

it.each(KINDS)("would fail if a paced %s were held although the instance answers", async kind => {
    const ports = createTestPorts(openConnection, TIMEOUT_MS, { isPaced: true });
    await runAll(ports, Array.from({ length: 8 }, () => kind));
    const replies = await runAll(ports, [kind]);
    expect(replies).toEqual([{ code: ResultCode.Ok, tookMs: expect.any(Number) as number }]);
    expect(replies[0]!.tookMs).toBeLessThan(20);
});

it("would fail if an instance that refuses everything received as many statements with pacing as without", async () => {
    code = ResultCode.QueueFull;
    const kinds = Array.from({ length: 12 }, () => StatementKind.Write);
    await runAll(createTestPorts(openConnection, TIMEOUT_MS), kinds);
    const unpacedCount = sentCount;
    sentCount = 0;
    await runAll(createTestPorts(openConnection, TIMEOUT_MS, { isPaced: true }), kinds);
    expect(sentCount).toBeLessThanOrEqual(unpacedCount);
});

it("would fail if an instance whose openings had failed were not used again once it accepts them", async () => {
    startupCode = ResultCode.BackendLost;
    const ports = createTestPorts(openConnection, TIMEOUT_MS, { isPaced: true });
    await runAll(ports, [StatementKind.Write]);
    startupCode = ResultCode.Ok;
    for (let tick = 0; tick < 5; tick++) {
        ports.directory.tick();
        await vi.advanceTimersByTimeAsync(200);
    }
    expect((await runAll(ports, [StatementKind.Write]))[0]!.code).toBe(ResultCode.Ok);
});
