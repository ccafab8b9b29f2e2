import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EmbeddedDeployment, GROUP } from "./support/EmbeddedDeployment.ts";

const READ = "SELECT value FROM entries WHERE key = 'a'";
const insertSql = (value: string): string => `INSERT INTO entries (key, value) VALUES ('a', '${value}')`;
const appendSql = (value: string): string => `UPDATE entries SET value = value || '${value}' WHERE key = 'a'`;
const LARGE_LAG_MS = 60_000;

describe("session consistency", () => {
    let deployment: EmbeddedDeployment;

    beforeEach(async () => {
        deployment = await EmbeddedDeployment.create();
    });

    afterEach(() => deployment.close());

    const setReplicationLag = (instance: string, lagMs: number): void => {
        deployment.standin.applyFault({ group: GROUP, instance, instanceFaults: { lagMs } });
    };
    const countReplicaReads = (): number => deployment.proxies.reduce((sum, proxy) => sum + proxy.counters.read("requests_replica"), 0);

    it("shows a session its own write while every replica lags, also after it reconnects at another proxy", async () => {
        setReplicationLag("two", LARGE_LAG_MS);
        setReplicationLag("three", LARGE_LAG_MS);
        const caller = await deployment.connect(0);
        await caller.run(insertSql("one"));
        expect(await caller.run(READ)).toBe("one");
        const atOtherProxy = await deployment.connect(1, { token: caller.token! });
        expect(await atOtherProxy.run(READ)).toBe("one");
        expect(countReplicaReads()).toBe(0);
    });

    it("reads at a replica that has replayed the session's write", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insertSql("one"));
        await deployment.waitForReplay("two", "one");
        await deployment.waitForReplay("three", "one");
        while (countReplicaReads() === 0) {
            expect(await caller.run(READ)).toBe("one");
        }
    });

    it("reads at the primary without a token, and at any instance for a session without writes", async () => {
        const writer = await deployment.connect(0);
        setReplicationLag("two", LARGE_LAG_MS);
        setReplicationLag("three", LARGE_LAG_MS);
        await writer.run(insertSql("one"));
        const withoutToken = await deployment.connect(1);
        expect(await withoutToken.run(READ)).toBe("one");
        const newSession = await deployment.connect(1, { token: "new" });
        expect(await newSession.run(READ)).toBe("SELECT 0");
    });

    it("accepts a token from before a promotion that preserved the session's write", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insertSql("one"));
        await deployment.waitForReplay("two", "one");
        deployment.promote("two", ["three"]);
        const atOtherProxy = await deployment.connect(1, { token: caller.token! });
        expect(await atOtherProxy.run(READ)).toBe("one");
        expect(await atOtherProxy.run(appendSql(" two"))).toBe("UPDATE 1");
        expect(await atOtherProxy.run(READ)).toBe("one two");
    });

    it("reports a lost write to its session exactly once before any read, also when the session reconnects at another proxy", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insertSql("one"));
        await deployment.waitForReplay("two", "one");
        await deployment.waitForReplay("three", "one");
        setReplicationLag("two", LARGE_LAG_MS);
        setReplicationLag("three", LARGE_LAG_MS);
        await caller.run(appendSql(" lost"));
        deployment.promote("two", ["three"]);
        const atOtherProxy = await deployment.connect(1, { token: caller.token! });
        expect(await atOtherProxy.run(READ)).toBe("40P02 result=201 effect=not run");
        expect(await atOtherProxy.run(READ)).toBe("one");
        const reconnected = await deployment.connect(0, { token: atOtherProxy.token! });
        expect(await reconnected.run(READ)).toBe("one");
    });

    it("reads nothing from a diverged old primary or its replica, regardless of how long their logs are", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insertSql("one"));
        await deployment.waitForReplay("two", "one");
        await deployment.waitForReplay("three", "one");
        deployment.promote("two", []);
        const oldPrimary = deployment.standin.findInstance(GROUP, "one")!;
        for (let index = 0; index < 20; index++) {
            oldPrimary.commit([{ table: "entries", key: "a", value: "diverged" }], performance.now());
        }
        await deployment.waitForReplay("three", "one");
        expect(await caller.run(appendSql(" two"))).toBe("UPDATE 1");
        expect(await caller.run(READ)).toBe("one two");
        const atOtherProxy = await deployment.connect(1, { token: caller.token! });
        expect(await atOtherProxy.run(READ)).toBe("one two");
    });

    it.each([
        ["malformed", "abc", "22023 result=109 effect=not run"],
        ["forged", "bG9nLWNvcmU.W10.AAAA", "28000 result=110 effect=not run"],
        ["of another service", "bGVkZ2Vy.W10.AAAA", "28000 result=111 effect=not run"],
    ])("refuses a token that is %s, at start-up and in SET", async (_name, token, expected) => {
        const refusal = await deployment.connect(0, { token }).catch((error: { code: string; detail: string; }) => error);
        expect(refusal).toMatchObject({ code: expected.slice(0, 5), detail: expected.slice(6) });
        const caller = await deployment.connect(0);
        expect(await caller.run(`SET pomeloturn.token = '${token}'`)).toBe(expected);
    });
});
