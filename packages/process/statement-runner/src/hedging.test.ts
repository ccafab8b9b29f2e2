import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { SessionRunner } from "./SessionRunner.ts";
import { createTestPorts, TEST_DATABASE } from "./support/createTestPorts.ts";

const TIMEOUT_MS = 800;
const READ_MS = 50;

const ok: InstanceReply = { code: ResultCode.Ok, rows: ["row"], proof: "proof", text: "", status: "I", position: { term: 1, position: 1 } };
const delayedOk = (delayMs: number): Promise<InstanceReply> => new Promise(resolve => setTimeout(() => resolve(ok), delayMs));
const createRead = (id: string): Statement => ({
    id,
    kind: StatementKind.Read,
    text: `READ ${id}`,
    name: "",
    argument: "",
    isWrite: false,
});

/** Opens a connection; the first one never answers the statement "lost" nor anything sent after it. */
const openConnection = (): CommandChannel => {
    let isSilent = false;
    let freeAtMs = 0;
    const answer = (command: InstanceCommand): Promise<InstanceReply> => {
        if (command.kind === CommandKind.Forward) {
            sent.push(command.statement.id);
        }
        isSilent ||= command.kind === CommandKind.Forward && command.statement.id === "lost" && openedCount === 1;
        freeAtMs = Math.max(freeAtMs, performance.now()) + (command.kind === CommandKind.Forward ? READ_MS : 0);
        return isSilent ? new Promise(() => {}) : delayedOk(freeAtMs - performance.now());
    };
    openedCount++;
    return {
        startupReply: delayedOk(1),
        isClosed: false,
        outstandingReplyCount: 0,
        send: commands => commands.map(answer),
        close: () => {},
    };
};
let openedCount = 0;
let sent: string[] = [];

beforeEach(() => {
    openedCount = 0;
    sent = [];
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

it("sends nothing for a caller that disconnected while its statement waited", async () => {
    const ports = createTestPorts(openConnection, TIMEOUT_MS);
    const pendingReads = ["a", "b", "c"].map(name => SessionRunner.create(TEST_DATABASE, "", ports).run(createRead(name)));
    const disconnected = ["READ", "WRITE"].map(word => {
        const runner = SessionRunner.create(TEST_DATABASE, "", ports);
        void runner.run({ ...createRead("gone"), kind: word === "READ" ? StatementKind.Read : StatementKind.Write });
        return runner;
    });
    await vi.advanceTimersByTimeAsync(5);
    disconnected.forEach(runner => runner.close());
    await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
    await Promise.all(pendingReads);
    expect(sent).toEqual(expect.arrayContaining(["a", "b", "c"]));
    expect(sent).not.toContain("gone");
});

it("retries a read whose answer was lost while other reads keep waiting for a connection", async () => {
    const ports = createTestPorts(openConnection, TIMEOUT_MS);
    const reply = SessionRunner.create(TEST_DATABASE, "", ports).run(createRead("lost"));
    await vi.advanceTimersByTimeAsync(10);
    const keepReading = async (name: string): Promise<void> => {
        const runner = SessionRunner.create(TEST_DATABASE, "", ports);
        while (performance.now() < TIMEOUT_MS) {
            await runner.run(createRead(name));
        }
    };
    const others = Promise.all(["b", "c", "d", "e", "f", "g", "h"].map(keepReading));
    await vi.advanceTimersByTimeAsync(3 * TIMEOUT_MS);
    await others;
    expect((await reply).code).toBe(ResultCode.Ok);
});
