import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EmbeddedDeployment, GROUP } from "./support/EmbeddedDeployment.ts";

const READ = "SELECT value FROM entries WHERE key = 'a'";
const insert = (value: string): string => `INSERT INTO entries (key, value) VALUES ('a', '${value}')`;
const append = (value: string): string => `UPDATE entries SET value = value || '${value}' WHERE key = 'a'`;
const FAR_BEHIND_MS = 60_000;

describe("session consistency", () => {
    let deployment: EmbeddedDeployment;

    beforeEach(async () => {
        deployment = await EmbeddedDeployment.create();
    });

    afterEach(() => deployment.close());

    const lag = (instance: string, lagMs: number): void => {
        deployment.standin.applyFault({ group: GROUP, instance, instanceFaults: { lagMs } });
    };
    const replicaReads = (): number => deployment.proxies.reduce((sum, proxy) => sum + proxy.counters.read("requests_replica"), 0);

    it("shows a session its write while every replica lags, here and after a roam", async () => {
        lag("two", FAR_BEHIND_MS);
        lag("three", FAR_BEHIND_MS);
        const caller = await deployment.connect(0);
        await caller.run(insert("one"));
        expect(await caller.run(READ)).toBe("one");
        const roamed = await deployment.connect(1, { token: caller.token! });
        expect(await roamed.run(READ)).toBe("one");
        expect(replicaReads()).toBe(0);
    });

    it("reads at a replica that has replayed the session's write", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insert("one"));
        await deployment.replayed("two", "one");
        await deployment.replayed("three", "one");
        while (replicaReads() === 0) {
            expect(await caller.run(READ)).toBe("one");
        }
    });

    it("reads at the primary without a token, and anywhere when nothing was written", async () => {
        const writer = await deployment.connect(0);
        lag("two", FAR_BEHIND_MS);
        lag("three", FAR_BEHIND_MS);
        await writer.run(insert("one"));
        const unknown = await deployment.connect(1);
        expect(await unknown.run(READ)).toBe("one");
        const fresh = await deployment.connect(1, { token: "new" });
        expect(await fresh.run(READ)).toBe("SELECT 0");
    });

    it("goes on with an old token when the promotion kept the write", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insert("one"));
        await deployment.replayed("two", "one");
        deployment.promote("two", ["three"]);
        const roamed = await deployment.connect(1, { token: caller.token! });
        expect(await roamed.run(READ)).toBe("one");
        expect(await roamed.run(append(" two"))).toBe("UPDATE 1");
        expect(await roamed.run(READ)).toBe("one two");
    });

    it("tells a session once that its write was lost, also when it roams, and never reads past it in silence", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insert("one"));
        await deployment.replayed("two", "one");
        await deployment.replayed("three", "one");
        lag("two", FAR_BEHIND_MS);
        lag("three", FAR_BEHIND_MS);
        await caller.run(append(" lost"));
        deployment.promote("two", ["three"]);
        const roamed = await deployment.connect(1, { token: caller.token! });
        expect(await roamed.run(READ)).toBe("40P02 result=201 effect=not run");
        expect(await roamed.run(READ)).toBe("one");
        const again = await deployment.connect(0, { token: roamed.token! });
        expect(await again.run(READ)).toBe("one");
    });

    it("takes nothing from a diverged old primary or its replica, however far their logs have grown", async () => {
        const caller = await deployment.connect(0);
        await caller.run(insert("one"));
        await deployment.replayed("two", "one");
        await deployment.replayed("three", "one");
        deployment.promote("two", []);
        const old = deployment.standin.findInstance(GROUP, "one")!;
        for (let index = 0; index < 20; index++) {
            old.commit([{ table: "entries", key: "a", value: "diverged" }], performance.now());
        }
        await deployment.replayed("three", "one");
        expect(await caller.run(append(" two"))).toBe("UPDATE 1");
        expect(await caller.run(READ)).toBe("one two");
        const roamed = await deployment.connect(1, { token: caller.token! });
        expect(await roamed.run(READ)).toBe("one two");
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
