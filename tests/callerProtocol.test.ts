import { createConnection, type Socket } from "node:net";
import { serialize } from "pg-protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EmbeddedDeployment } from "./support/EmbeddedDeployment.ts";

const LARGE_VALUE = "v".repeat(300_000);
const ROW_COUNT = 100;
const ROW_SIZE_BYTES = 100_000;

describe("the PostgreSQL protocol through two proxies", () => {
    let deployment: EmbeddedDeployment;

    beforeEach(async () => {
        deployment = await EmbeddedDeployment.create();
    });

    afterEach(() => deployment.close());

    /** Connects a caller that reads and writes raw protocol bytes; resolves once the start-up is complete. */
    const connectRaw = (): Promise<{ socket: Socket; receivedText: () => string; waitForOutput: (pattern: RegExp) => Promise<void>; }> =>
        new Promise(resolve => {
            let received = "";
            const socket = createConnection({ host: "127.0.0.1", port: deployment.callerPort(0), noDelay: true });
            const waitForOutput = async (pattern: RegExp): Promise<void> => {
                while (!pattern.test(received)) {
                    await new Promise(resolvePause => setTimeout(resolvePause, 1));
                }
            };
            socket.on("data", data => {
                received += data.toString("latin1");
            });
            socket.write(serialize.startup({ user: "editor", database: "log-core" }));
            socket.write(serialize.password("secret"));
            void waitForOutput(/Z\0\0\0\x05I$/).then(() => {
                received = "";
                resolve({ socket, receivedText: () => received, waitForOutput });
            });
        });

    it("forwards a 300 kB parameter that spans many segments, and named prepared statements", async () => {
        const caller = await deployment.connect(0);
        await caller.client.query({ name: "file", text: "INSERT INTO entries (key, value) VALUES ($1, $2)", values: ["a", LARGE_VALUE] });
        await caller.client.query({ name: "file", text: "INSERT INTO entries (key, value) VALUES ($1, $2)", values: ["b", "small"] });
        expect(await caller.run("SELECT value FROM entries WHERE key = $1", ["a"])).toBe(LARGE_VALUE);
    });

    it.each([
        ["", 200],
        [" until the time limit of the statement has passed", 6_000],
    ])("delivers a complete 10 MB result to a caller that pauses reading%s", async (_what, pauseMs) => {
        const { socket, receivedText, waitForOutput } = await connectRaw();
        socket.write(serialize.query(`SELECT repeat('x', ${ROW_SIZE_BYTES}) FROM generate_series(1, ${ROW_COUNT})`));
        await waitForOutput(/x/);
        socket.pause();
        await new Promise(resolve => setTimeout(resolve, pauseMs));
        socket.resume();
        await waitForOutput(/Z\0\0\0\x05I$/);
        expect(receivedText().match(/x+/g)!.reduce((sum, match) => sum + match.length, 0)).toBe(ROW_COUNT * ROW_SIZE_BYTES);
        socket.destroy();
    });

    it("answers pipelined queries in order", async () => {
        const { socket, receivedText, waitForOutput } = await connectRaw();
        socket.write(Buffer.concat([1, 2, 3].map(number => serialize.query(`SELECT ${number}`))));
        await waitForOutput(/(?:Z\0\0\0\x05I.*){3}/s);
        expect(receivedText().match(/[123]C\0/g)).toEqual(["1C\0", "2C\0", "3C\0"]);
        socket.destroy();
    });

    it("answers a Flush immediately and commits at the Sync", async () => {
        const { socket, receivedText, waitForOutput } = await connectRaw();
        socket.write(serialize.parse({ text: "INSERT INTO entries (key, value) VALUES ('a', 'one')" }));
        socket.write(Buffer.concat([serialize.bind({}), serialize.execute({}), serialize.flush()]));
        await waitForOutput(/INSERT 0 1/);
        expect(receivedText()).not.toMatch(/BEGIN|Z\0\0\0\x05/);
        const other = await deployment.connect(1);
        expect(await other.run("SELECT value FROM entries WHERE key = 'a'")).toBe("SELECT 0");
        socket.write(serialize.sync());
        await waitForOutput(/Z\0\0\0\x05I$/);
        expect(await other.run("SELECT value FROM entries WHERE key = 'a'")).toBe("one");
        socket.destroy();
    });

    it("rolls back the transaction of a caller that disconnects and releases its locks", async () => {
        const caller = await deployment.connect(0);
        await caller.run("INSERT INTO entries (key, value) VALUES ('a', 'one')");
        const { socket, waitForOutput } = await connectRaw();
        socket.write(serialize.query("BEGIN"));
        await waitForOutput(/BEGIN/);
        socket.write(serialize.query("UPDATE entries SET value = 'two' WHERE key = 'a'"));
        await waitForOutput(/UPDATE 1/);
        socket.destroy();
        expect(await caller.run("UPDATE entries SET value = value || '!' WHERE key = 'a'")).toBe("UPDATE 1");
        expect(await caller.run("SELECT value FROM entries WHERE key = 'a'")).toBe("one!");
    });

    it("passes errors of the backend server through unchanged", async () => {
        const caller = await deployment.connect(0);
        await caller.run("INSERT INTO entries (key, value) VALUES ('a', 'one')");
        expect(await caller.run("INSERT INTO entries (key, value) VALUES ('a', 'two')")).toBe("23505 ");
        expect(await caller.run("this is not SQL")).toBe("42601 ");
        expect(await caller.run("SELECT 1")).toBe("1");
    });

    it("cancels the running request only when the secret key matches", async () => {
        const caller = await deployment.connect(0);
        const { processID, secretKey } = caller.client as unknown as { processID: number; secretKey: number; };
        const sendCancel = (key: number): Promise<void> =>
            new Promise(resolve => {
                const socket = createConnection({ host: "127.0.0.1", port: deployment.callerPort(0) }, () => {
                    socket.write(serialize.cancel(processID, key));
                });
                socket.on("close", () => resolve());
                socket.on("error", () => undefined);
                socket.resume();
            });
        const pending = caller.run("SELECT pg_sleep(3)");
        let isSettled = false;
        void pending.then(() => {
            isSettled = true;
        });
        await sendCancel(secretKey + 1);
        expect(isSettled).toBe(false);
        await sendCancel(secretKey);
        expect(await pending).toBe("57014 result=405 effect=outcome unknown");
    });
});
