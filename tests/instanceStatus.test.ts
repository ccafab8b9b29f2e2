import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import pg from "pg";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Proxy } from "../programs/proxy/src/Proxy.ts";
import { Standin } from "../programs/standin/src/Standin.ts";
import type { StandinSettings } from "../programs/standin/src/StandinSettings.ts";
import { createSmallDeployment } from "./support/smallDeployment.ts";

const NO_EXPIRY_MS = 1e15;
const ATTEMPT_LIMIT = 100;

describe("exchange of instance status between proxies", () => {
    const closeActions: (() => void)[] = [];
    const proxies: Proxy[] = [];
    let client: pg.Client;

    beforeEach(async () => {
        const deployment = await createSmallDeployment(2, { expiresAtMs: NO_EXPIRY_MS });
        const standin = await Standin.create(deployment.standin as unknown as StandinSettings, monotonicNowMs);
        closeActions.push(() => standin.close());
        for (const address of deployment.proxies) {
            const proxy = await Proxy.create({ ...address, callerLimit: 10, view: deployment.view });
            proxies.push(proxy);
            closeActions.push(() => proxy.close());
        }
        client = new pg.Client({
            host: "127.0.0.1",
            port: deployment.proxies[0]!.callerPort,
            user: "editor",
            password: "secret",
            database: "log-core",
        });
        await client.connect();
    });

    afterEach(async () => {
        await client.end();
        for (const close of closeActions.splice(0)) {
            close();
        }
        proxies.splice(0);
    });

    it("lets a session read at a replica after its own write once the holder has reported the position of the replica", async () => {
        await client.query("INSERT INTO entries (key, value) VALUES ('a', 'one')");
        let attempts = 0;
        while (proxies[0]!.counters.read("requests_replica") === 0 && attempts < ATTEMPT_LIMIT) {
            const { rows } = await client.query("SELECT value FROM entries WHERE key = 'a'");
            expect(rows).toEqual([{ value: "one" }]);
            await new Promise(resolve => setTimeout(resolve, 20));
            attempts++;
        }
        expect(proxies[0]!.counters.read("requests_replica")).toBe(1);
    });
});
