import type { DatabaseInstance } from "@pomeloturn/standin/database/DatabaseInstance";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EmbeddedDeployment, GROUP } from "./support/EmbeddedDeployment.ts";

const READ = "SELECT value FROM entries WHERE key = 'a'";
const append = (id: string): string => `UPDATE entries SET value = value || 'x' WHERE key = 'a' /*request_id='${id}'*/`;

describe("at most once under a request id", () => {
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
    /** Waits until the primary has got as far as `isReached` says. */
    const reach = async (isReached: (primary: DatabaseInstance) => boolean): Promise<void> => {
        while (!isReached(deployment.standin.findInstance(GROUP, "one")!)) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    };
    const isUpdated = (primary: DatabaseInstance): boolean => primary.store.read("entries", "a") === "x";
    const loseConnections = (): void => {
        setFaults({ isStopped: true, answerDelayMs: 0 });
        setFaults({ isStopped: false });
    };

    it("gives a re-submission the first outcome, at any proxy and whatever else the comment says", async () => {
        const first = await deployment.connect(0);
        const second = await deployment.connect(1);
        expect(await first.run(append("r1"))).toBe("UPDATE 1");
        expect(await first.run(append("r1"))).toBe("UPDATE 1");
        expect(await second.run(append("r1").replace("/*", "/*traceparent='00-1',"))).toBe("UPDATE 1");
        expect(await second.run(READ)).toBe("x");
    });

    it("repeats the rows of the first outcome, in both query protocols", async () => {
        const caller = await deployment.connect(0);
        const text = (id: string, key: string, value: string): string =>
            `INSERT INTO entries (key, value) VALUES (${key}, ${value}) ON CONFLICT (key) DO UPDATE SET value = excluded.value RETURNING value /*request_id='${id}'*/`;
        expect(await caller.run(text("r2", "'b'", "'one'"))).toBe("one");
        await caller.run("UPDATE entries SET value = 'changed' WHERE key = 'b'");
        expect(await caller.run(text("r2", "'b'", "'one'"))).toBe("one");
        expect(await caller.run(text("r3", "$1", "$2"), ["c", "two"])).toBe("two");
        expect(await caller.run(text("r3", "$1", "$2"), ["c", "two"])).toBe("two");
        expect(await caller.run(text("r3", "$1", "$2"), ["c", "three"])).toBe("22023 result=115 effect=not run");
    });

    it("refuses the id for another statement", async () => {
        const caller = await deployment.connect(0);
        await caller.run(append("r4"));
        expect(await caller.run(append("r4").replace("'x'", "'y'"))).toBe("22023 result=115 effect=not run");
        expect(await caller.run(READ)).toBe("x");
    });

    it("runs one of many submissions at two proxies at once", async () => {
        const callers = await Promise.all(Array.from({ length: 8 }, (_each, index) => deployment.connect(index % 2)));
        const results = await Promise.all(callers.map(caller => caller.run(append("r5"))));
        expect(new Set(results)).toEqual(new Set(["UPDATE 1"]));
        expect(await callers[0]!.run(READ)).toBe("x");
    });

    it("keeps nothing of a write that failed, so that it may be submitted again", async () => {
        const caller = await deployment.connect(0);
        const text = "INSERT INTO entries (key, value) VALUES ('d', 'one') /*request_id='r6'*/";
        await caller.run("INSERT INTO entries (key, value) VALUES ('d', 'zero')");
        expect(await caller.run(text)).toBe("23505 ");
        await caller.run("DELETE FROM entries WHERE key = 'd'");
        expect(await caller.run(text)).toBe("INSERT 1");
    });

    it("tells the re-submission of a step of a committed transaction that it ran", async () => {
        const caller = await deployment.connect(0);
        const submit = async (end: string): Promise<string> => {
            await caller.run("BEGIN");
            const result = await caller.run(append("r7"));
            await caller.run(end);
            return result;
        };
        expect(await submit("ROLLBACK")).toBe("UPDATE 1");
        expect(await submit("COMMIT")).toBe("UPDATE 1");
        expect(await submit("COMMIT")).toBe("23505 result=408 effect=ran");
        expect(await caller.run(READ)).toBe("x");
    });

    it("refuses a request id together with transaction control in one text", async () => {
        const caller = await deployment.connect(0);
        expect(await caller.run("BEGIN; DELETE FROM entries WHERE key = 'a'; COMMIT /*request_id='r8'*/")).toBe(
            "0A000 result=106 effect=not run",
        );
        expect(await caller.run(READ)).toBe("");
    });

    it.each<[string, (primary: DatabaseInstance) => boolean]>([
        ["before its transaction commits", primary => primary.locks.has("entries\na")],
        ["after its commit, before the answer", isUpdated],
    ])("retries when the connection is lost %s, and runs once", async (_name, isReached) => {
        const caller = await deployment.connect(0);
        setFaults({ answerDelayMs: 200 });
        const result = caller.run(append("r9"));
        await reach(isReached);
        loseConnections();
        expect(await result).toBe("UPDATE 1");
        expect(await caller.run(READ)).toBe("x");
    });

    it("says that the outcome is unknown when there is no request id, and does not retry", async () => {
        const caller = await deployment.connect(0);
        setFaults({ answerDelayMs: 200 });
        const result = caller.run("UPDATE entries SET value = value || 'x' WHERE key = 'a'");
        await reach(isUpdated);
        loseConnections();
        expect(await result).toBe("40003 result=403 effect=outcome unknown");
        expect(await caller.run(READ)).toBe("x");
    });
});
