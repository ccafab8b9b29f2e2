import type { DatabaseInstance } from "@pomeloturn/standin/database/DatabaseInstance";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EmbeddedDeployment, GROUP } from "./support/EmbeddedDeployment.ts";

const READ = "SELECT value FROM entries WHERE key = 'a'";
const appendSql = (id: string): string => `UPDATE entries SET value = value || 'x' WHERE key = 'a' /*request_id='${id}'*/`;

describe("writes with a request id run at most once", () => {
    let deployment: EmbeddedDeployment;

    beforeEach(async () => {
        deployment = await EmbeddedDeployment.create();
        const caller = await deployment.connect(0);
        await caller.run("INSERT INTO entries (key, value) VALUES ('a', '')");
    });

    afterEach(() => deployment.close());

    const setFaults = (instanceFaults: Record<string, unknown>): void => {
        deployment.standin.applyFault({ group: GROUP, instance: "one", instanceFaults });
    };
    /** Waits until `isReached` returns true for the primary. */
    const waitForPrimary = async (isReached: (primary: DatabaseInstance) => boolean): Promise<void> => {
        while (!isReached(deployment.standin.findInstance(GROUP, "one")!)) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    };
    const isUpdated = (primary: DatabaseInstance): boolean => primary.store.read("entries", "a") === "x";
    const resetConnections = (): void => {
        setFaults({ isStopped: true, answerDelayMs: 0 });
        setFaults({ isStopped: false });
    };

    it("answers a re-submission with the first outcome, at any proxy and with any other keys in the SQL comment", async () => {
        const first = await deployment.connect(0);
        const second = await deployment.connect(1);
        expect(await first.run(appendSql("r1"))).toBe("UPDATE 1");
        expect(await first.run(appendSql("r1"))).toBe("UPDATE 1");
        expect(await second.run(appendSql("r1").replace("/*", "/*traceparent='00-1',"))).toBe("UPDATE 1");
        expect(await second.run(READ)).toBe("x");
    });

    it("returns the rows of the first outcome again, in the simple and the extended query protocol", async () => {
        const caller = await deployment.connect(0);
        const insertSql = (id: string, key: string, value: string): string =>
            `INSERT INTO entries (key, value) VALUES (${key}, ${value}) ON CONFLICT (key) DO UPDATE SET value = excluded.value RETURNING value /*request_id='${id}'*/`;
        expect(await caller.run(insertSql("r2", "'b'", "'one'"))).toBe("one");
        await caller.run("UPDATE entries SET value = 'changed' WHERE key = 'b'");
        expect(await caller.run(insertSql("r2", "'b'", "'one'"))).toBe("one");
        expect(await caller.run(insertSql("r3", "$1", "$2"), ["c", "two"])).toBe("two");
        expect(await caller.run(insertSql("r3", "$1", "$2"), ["c", "two"])).toBe("two");
        expect(await caller.run(insertSql("r3", "$1", "$2"), ["c", "three"])).toBe("22023 result=115 effect=not run");
    });

    it("refuses a request id that was used for another statement", async () => {
        const caller = await deployment.connect(0);
        await caller.run(appendSql("r4"));
        expect(await caller.run(appendSql("r4").replace("'x'", "'y'"))).toBe("22023 result=115 effect=not run");
        expect(await caller.run(READ)).toBe("x");
    });

    it("runs one of several concurrent submissions at two proxies", async () => {
        const callers = await Promise.all(Array.from({ length: 8 }, (_each, index) => deployment.connect(index % 2)));
        const results = await Promise.all(callers.map(caller => caller.run(appendSql("r5"))));
        expect(new Set(results)).toEqual(new Set(["UPDATE 1"]));
        expect(await callers[0]!.run(READ)).toBe("x");
    });

    it("records no outcome for a write that failed, so that it can be submitted again", async () => {
        const caller = await deployment.connect(0);
        const text = "INSERT INTO entries (key, value) VALUES ('d', 'one') /*request_id='r6'*/";
        await caller.run("INSERT INTO entries (key, value) VALUES ('d', 'zero')");
        expect(await caller.run(text)).toBe("23505 ");
        await caller.run("DELETE FROM entries WHERE key = 'd'");
        expect(await caller.run(text)).toBe("INSERT 1");
    });

    it("reports that a re-submitted statement of a committed transaction has run", async () => {
        const caller = await deployment.connect(0);
        const submitTransaction = async (endStatement: string): Promise<string> => {
            await caller.run("BEGIN");
            const result = await caller.run(appendSql("r7"));
            await caller.run(endStatement);
            return result;
        };
        expect(await submitTransaction("ROLLBACK")).toBe("UPDATE 1");
        expect(await submitTransaction("COMMIT")).toBe("UPDATE 1");
        expect(await submitTransaction("COMMIT")).toBe("23505 result=408 effect=ran");
        expect(await caller.run(READ)).toBe("x");
    });

    it("refuses a request id on a text that contains transaction control", async () => {
        const caller = await deployment.connect(0);
        expect(await caller.run("BEGIN; DELETE FROM entries WHERE key = 'a'; COMMIT /*request_id='r8'*/")).toBe(
            "0A000 result=106 effect=not run",
        );
        expect(await caller.run(READ)).toBe("");
    });

    it.each<[string, (primary: DatabaseInstance) => boolean]>([
        ["before its transaction commits", primary => primary.locks.has("entries\na")],
        ["after its commit, before the answer", isUpdated],
    ])("retries and runs once when the connection is lost %s", async (_name, isReached) => {
        const caller = await deployment.connect(0);
        setFaults({ answerDelayMs: 200 });
        const result = caller.run(appendSql("r9"));
        await waitForPrimary(isReached);
        resetConnections();
        expect(await result).toBe("UPDATE 1");
        expect(await caller.run(READ)).toBe("x");
    });

    it("reports an unknown outcome and does not retry without a request id", async () => {
        const caller = await deployment.connect(0);
        setFaults({ answerDelayMs: 200 });
        const result = caller.run("UPDATE entries SET value = value || 'x' WHERE key = 'a'");
        await waitForPrimary(isUpdated);
        resetConnections();
        expect(await result).toBe("40003 result=403 effect=outcome unknown");
        expect(await caller.run(READ)).toBe("x");
    });
});
