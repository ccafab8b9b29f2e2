import { lineCallerProtocol } from "@pomeloturn/platform/lineProtocol";
import { createAnsweringChannel } from "@pomeloturn/statement-runner/support/createAnsweringChannel";
import { createTestPorts, TEST_DATABASE } from "@pomeloturn/statement-runner/support/createTestPorts";
import { CommandKind, type InstanceCommand } from "@pomeloturn/types/InstanceCommand";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { CallerListener } from "./CallerListener.ts";
import { createTestGuard } from "./support/createTestGuard.ts";
import { TestCaller } from "./support/TestCaller.ts";

const TIMEOUT_MS = 600;
const WORK_MS = 50;
const LARGE_READ = "READ large";
const LARGE_ROW = "x".repeat(900_000);

let listener: CallerListener;
let port: number;

const runStatement = async (command: InstanceCommand): Promise<readonly string[]> => {
    if (command.kind === CommandKind.Forward) {
        await delay(command.statement.text === LARGE_READ ? 0 : WORK_MS);
        return command.statement.text === LARGE_READ ? [LARGE_ROW] : [];
    }
    return [];
};

beforeEach(async () => {
    const ports = createTestPorts(() => createAnsweringChannel(runStatement), TIMEOUT_MS);
    const onError = (error: Error): void => {
        throw error;
    };
    listener = CallerListener.create(
        { host: "127.0.0.1", port: 0 },
        lineCallerProtocol,
        ports,
        { decide: () => "run" },
        onError,
        createTestGuard(),
    );
    port = await listener.listeningPort();
});

afterEach(() => {
    listener.stopAccepting();
    listener.sessions.forEach(session => session.destroy());
});

it("drops the answers of a caller that closes its sending side behind its statements", async () => {
    const callers = Array.from({ length: 5 }, () => new TestCaller(port));
    callers.forEach((caller, index) =>
        caller.sendAndEnd(`STARTUP ${TEST_DATABASE}\r\nQUERY h${index} WRITE a 1\r\nQUERY i${index} READ a\r\n`)
    );
    await vi.waitFor(() => expect(callers.every(({ isClosed }) => isClosed)).toBe(true), { timeout: 10_000 });
    expect(callers.map(({ replyCount }) => replyCount)).toEqual(callers.map(() => 3));
});

it("drops the answer of a statement that is running when a message of another protocol follows", async () => {
    const caller = await new TestCaller(port).start();
    caller.send("QUERY r1 WRITE a 1\r\n");
    await delay(WORK_MS / 5);
    caller.send("not \n of the protocol\r\n");
    await vi.waitFor(() => expect(caller.isClosed).toBe(true));
    expect(caller.received).toMatch(/COMPLETE proof\r\nREADY I -\r\nERROR MALFORMED .*\r\n$/);
});

it("keeps replies without a limit for a caller that never reads", async () => {
    const caller = await new TestCaller(port).start();
    caller.stopReading();
    caller.send(Array.from({ length: 50 }, (_each, index) => `QUERY n${index} ${LARGE_READ}\r\n`).join(""));
    await delay(1_500);
    expect(Math.max(...[...listener.sessions].map(({ unsentBytes }) => unsentBytes))).toBeLessThan(2 * LARGE_ROW.length);
    caller.startReading();
    await vi.waitFor(() => expect(caller.replyCount).toBe(51), { timeout: 10_000 });
    caller.close();
});
