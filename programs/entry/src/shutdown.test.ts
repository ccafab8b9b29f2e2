import { lineCallerProtocol } from "@pomeloturn/platform/lineProtocol";
import { createAnsweringChannel } from "@pomeloturn/statement-runner/support/createAnsweringChannel";
import { createTestPorts } from "@pomeloturn/statement-runner/support/createTestPorts";
import { CommandKind, type InstanceCommand } from "@pomeloturn/types/InstanceCommand";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CallerListener } from "./CallerListener.ts";
import { EntryDrain } from "./EntryDrain.ts";
import { createTestGuard } from "./support/createTestGuard.ts";
import { TestCaller } from "./support/TestCaller.ts";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 600;
const GRACE_MS = 2_000;

let workMs: number;
let ran: string[];
let hasExited: boolean;
let listener: CallerListener;
let drain: EntryDrain | undefined;
let port: number;

/** Answers each statement after `workMs`. */
const runStatement = async (command: InstanceCommand): Promise<readonly string[]> => {
    if (command.kind === CommandKind.Forward) {
        ran.push(command.statement.id);
        await delay(workMs);
    }
    return [];
};

beforeEach(async () => {
    workMs = 20;
    ran = [];
    hasExited = false;
    drain = undefined;
    const ports = createTestPorts(() => createAnsweringChannel(runStatement), TIMEOUT_MS);
    listener = CallerListener.create({ host: HOST, port: 0 }, lineCallerProtocol, ports, {
        decide: statement => drain?.decide(statement) ?? "run",
    }, error => {
        throw error;
    }, createTestGuard());
    port = await listener.listeningPort();
});

afterEach(async () => {
    await vi.waitFor(() => expect(hasExited).toBe(true), { timeout: 2 * GRACE_MS });
});

/** Shuts down with this grace period. Connections that are open at the exit are cut, as by the end of the process. */
const shutDown = (graceMs = GRACE_MS): void => {
    const { sessions } = listener;
    drain = EntryDrain.create({
        sessions,
        stopAccepting: () => listener.stopAccepting(),
        nowMs: () => performance.now(),
        onDone: () => {
            hasExited = true;
            sessions.forEach(session => session.destroy());
        },
    }, graceMs);
};

interface Broken {
    readonly id: string;
    /** Time from sending the statement to the end of the connection. */
    readonly afterMs: number;
}

/** Sends operations without a pause until the session ends. @returns the statement that was not answered, if any */
const runWithoutPause = async (name: string, texts: readonly string[], pauseMs = 0): Promise<Broken | undefined> => {
    const caller = await new TestCaller(port).start();
    for (let number = 0;; number++) {
        const id = `${name}-${number}`;
        const sentAtMs = performance.now();
        const reply = await caller.request(`QUERY ${id} ${texts[number % texts.length]}\r\n`);
        if (reply === undefined) {
            return { id, afterMs: performance.now() - sentAtMs };
        }
        await delay(pauseMs);
    }
};

const TRANSACTION = ["BEGIN", ...Array.from({ length: 10 }, () => "WRITE a 1"), "COMMIT"];

describe("a shutdown", () => {
    it.each<[string, readonly string[], number]>([
        ["reads", ["READ a"], 0],
        ["writes", ["WRITE a 1"], 0],
        ["writes with pauses shorter than a step", ["WRITE a 1"], 8],
        ["transactions", TRANSACTION, 0],
        ["transactions with pauses", TRANSACTION, 15],
        ["a transaction that does not end", ["BEGIN", ...Array.from({ length: 1_000 }, () => "WRITE a 1")], 0],
        ["settings between its statements", ["SET a 1", "PREPARE p WRITE s", "EXECUTE p a 1", "CLOSE p"], 0],
    ])("cuts no statement of a session that never pauses between %s", async (_what, texts, pauseMs) => {
        const sessions = Array.from({ length: 4 }, (_each, index) => runWithoutPause(`s${index}`, texts, pauseMs));
        await delay(300);
        shutDown();
        const broken = (await Promise.all(sessions)).filter(each => each !== undefined);
        // A statement that crosses the close is not run; its caller learns of the close at once.
        expect(broken.filter(({ id, afterMs }) => ran.includes(id) || afterMs > 100)).toEqual([]);
    });

    it("leaves no pipelined statement without an answer", async () => {
        workMs = 150;
        const caller = await new TestCaller(port).start();
        shutDown();
        const texts = Array.from({ length: 30 }, (_each, index) => `QUERY p${index} WRITE a ${index}\r\n`);
        caller.send(texts.join(""));
        await vi.waitFor(() => expect(caller.isClosed).toBe(true), { timeout: 2 * GRACE_MS });
        expect(caller.replyCount).toBe(1 + texts.length);
        expect(caller.received.match(/COMPLETE/g)).toHaveLength(ran.length);
        expect(ran.length).toBeLessThan(texts.length);
    });

    it.each([["WRITE a 1", "ERROR INDOUBT"], ["READ a", "ERROR TIMEOUT"]])(
        "cuts no statement that outlasts the grace period without an answer: %s",
        async (text, answer) => {
            workMs = 10_000;
            const caller = await new TestCaller(port).start();
            shutDown(500);
            expect(await caller.request(`QUERY slow ${text}\r\n`)).toContain(answer);
        },
    );

    it("says of no transaction that was rolled back that its outcome is unknown", async () => {
        workMs = 10_000;
        const caller = await new TestCaller(port).start();
        await caller.request("QUERY t1 BEGIN\r\n");
        shutDown(500);
        expect(await caller.request("QUERY t2 WRITE a 1\r\n")).toContain("ERROR ABORTED");
    });

    it("cuts no reply that its caller is slow to read", async () => {
        const caller = await new TestCaller(port).start();
        caller.stopReading();
        caller.send("QUERY a1 WRITE a 1\r\n");
        await vi.waitFor(() => expect(ran).toContain("a1"));
        shutDown();
        await delay(GRACE_MS * 0.75);
        caller.startReading();
        await vi.waitFor(() => expect(caller.replyCount).toBe(2));
    });

    it("does not close a session while a statement is arriving", async () => {
        const caller = await new TestCaller(port).start();
        caller.send("QUERY half WRI");
        shutDown();
        await delay(GRACE_MS * 0.6);
        caller.send("TE a 1\r\n");
        await vi.waitFor(() => expect(caller.replyCount).toBe(2));
        expect(caller.received).toContain("ERROR BUSY");
    });
});
