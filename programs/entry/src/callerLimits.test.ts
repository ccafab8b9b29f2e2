import type { CallerLimits } from "@pomeloturn/caller-limits/CallerLimits";
import { lineCallerProtocol } from "@pomeloturn/platform/lineProtocol";
import { createAnsweringChannel } from "@pomeloturn/statement-runner/support/createAnsweringChannel";
import { createTestPorts, TEST_DATABASE } from "@pomeloturn/statement-runner/support/createTestPorts";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { CallerListener } from "./CallerListener.ts";
import { createTestGuard } from "./support/createTestGuard.ts";
import { TestCaller } from "./support/TestCaller.ts";

const TIMEOUT_MS = 600;
const LARGEST_MESSAGE_BYTES = 1_048_576;
const LARGE_ROW = "x".repeat(900_000);

let listener: CallerListener;
let port: number;
let limited: string[];

const start = async (limits: Partial<CallerLimits>): Promise<void> => {
    const ports = createTestPorts(() => createAnsweringChannel(() => Promise.resolve([LARGE_ROW])), TIMEOUT_MS);
    const guard = createTestGuard(limits, limit => limited.push(limit));
    const onError = (error: Error): void => {
        throw error;
    };
    listener = CallerListener.create({ host: "127.0.0.1", port: 0 }, lineCallerProtocol, ports, { decide: () => "run" }, onError, guard);
    port = await listener.listeningPort();
};

beforeEach(() => {
    limited = [];
});

afterEach(() => {
    listener.stopAccepting();
    listener.sessions.forEach(session => session.destroy());
});

const startCallers = (count: number): Promise<TestCaller[]> =>
    Promise.all(Array.from({ length: count }, () => new TestCaller(port).start()));

const createRead = (bytes: number): string => `QUERY q READ ${"x".repeat(bytes - "QUERY q READ ".length)}\r\n`;

it("refuses a single message of the largest size", async () => {
    await start({ heldBytes: 8 * LARGEST_MESSAGE_BYTES });
    const [caller] = await startCallers(1);
    expect(await caller!.request(createRead(LARGEST_MESSAGE_BYTES))).toMatch(/COMPLETE proof\r\nREADY I -\r\n$/);
    expect(limited).toEqual([]);
});

it("lets some of many large messages wait for ever", async () => {
    await start({ heldBytes: 64 * LARGEST_MESSAGE_BYTES });
    const callers = await startCallers(40);
    const answers = await Promise.all(callers.map(caller => caller.request(createRead(LARGEST_MESSAGE_BYTES))));
    expect(answers.filter(answer => answer?.includes("COMPLETE proof") === true)).toHaveLength(callers.length);
    expect(limited).toEqual([]);
});

it("keeps a caller that does not finish its message, or closes idle sessions", async () => {
    await start({ unfinishedMessageMs: 200 });
    const [unfinished, idle] = await startCallers(2);
    unfinished!.send("QUERY q RE");
    await vi.waitFor(() => expect(unfinished!.isClosed).toBe(true), { timeout: 5_000 });
    await delay(300);
    expect([idle!.isClosed, limited]).toEqual([false, ["unfinished_message"]]);
});

it("adds up the times of messages that are finished", async () => {
    await start({ unfinishedMessageMs: 2_000 });
    const [caller] = await startCallers(1);
    for (let count = 0; count < 12; count++) {
        caller!.send(count === 0 ? "QUERY q " : "READ a\r\nQUERY q ");
        await delay(250);
    }
    expect([caller!.isClosed, limited]).toEqual([false, []]);
});

it("keeps a caller that does not read its answers", async () => {
    await start({ unreadAnswersMs: 200 });
    const [caller] = await startCallers(1);
    caller!.stopReading();
    caller!.send(Array.from({ length: 30 }, () => "QUERY q READ a\r\n").join(""));
    await vi.waitFor(() => expect(listener.sessions.size).toBe(0), { timeout: 10_000 });
    expect(limited).toEqual(["unread_answers"]);
    caller!.close();
});

it("accepts more callers than the limit, or none after some have left", async () => {
    await start({ connections: 3 });
    const callers = await startCallers(3);
    const refused = new TestCaller(port);
    await vi.waitFor(() => expect(refused.isClosed).toBe(true), { timeout: 5_000 });
    expect(limited).toEqual(["connections"]);
    callers[0]!.close();
    await vi.waitFor(() => expect(listener.sessions.size).toBe(2), { timeout: 5_000 });
    const [next] = await startCallers(1);
    expect(next!.replyCount).toBe(1);
});

it("keeps what all sessions have set without a limit", async () => {
    await start({ heldBytes: 4_000_000 });
    const callers = await startCallers(30);
    for (const caller of callers) {
        await caller.request(`QUERY q SET name ${"v".repeat(200_000)}\r\n`);
    }
    const storedBytes = [...listener.sessions].reduce((sum, session) => sum + session.storedBytes, 0);
    expect(storedBytes).toBeLessThanOrEqual(2_000_000);
    expect(limited.length).toBeGreaterThanOrEqual(20);
    expect(new Set(limited)).toEqual(new Set(["stored_bytes"]));
});

it("drops complete statements that arrive in one piece with a malformed message", async () => {
    await start({});
    const caller = new TestCaller(port);
    caller.send(`STARTUP ${TEST_DATABASE}\r\nQUERY q SET a b\r\nQUERY r SET a c\r\nbad \n line\r\n`);
    await vi.waitFor(() => expect(caller.isClosed).toBe(true), { timeout: 5_000 });
    expect(caller.received).toMatch(/^READY I -\r\n(COMPLETE -\r\nREADY I -\r\n){2}ERROR MALFORMED .*\r\n$/);
});
