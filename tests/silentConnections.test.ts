import { createSampleConfiguration, SAMPLE_INSTANCES } from "@pomeloturn/standin/sampleConfiguration";
import { setTimeout as delay } from "node:timers/promises";
import type pg from "pg";
import { afterEach, expect, it } from "vitest";
import { ControlledDeployment } from "./support/ControlledDeployment.ts";
import { countKeepAliveTimers } from "./support/countKeepAliveTimers.ts";
import { LostDirection, SilentLink } from "./support/SilentLink.ts";
import { createSmallDeployment } from "./support/smallDeployment.ts";

const HOST = "127.0.0.1";
/** Time limit of a statement by the rank of the sample configuration, with the time to cancel it. */
const STATEMENT_LIMIT_MS = 8_000;
const SESSION_COUNT = 4;

const cleanups: (() => Promise<void> | void)[] = [];
afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

/** Starts one VM whose proxy reaches each instance through a link. */
const startWithLinks = async (): Promise<{ readonly deployment: ControlledDeployment; readonly links: readonly SilentLink[]; }> => {
    const small = await createSmallDeployment(1, { expiresAtMs: 0 });
    const [group] = small.standin["groups"] as [{ readonly instances: Readonly<Record<string, number>>; }];
    const links = await Promise.all(SAMPLE_INSTANCES.map(name => SilentLink.start(`${HOST}:${group.instances[name]}`)));
    cleanups.push(() => links.forEach(link => link.close()));
    const configuration = createSampleConfiguration(links.map(({ address }) => Number(address.split(":")[1])));
    const deployment = await ControlledDeployment.start({ ...small, configuration });
    cleanups.push(() => deployment.close());
    const client = await deployment.connect(0);
    await deployment.waitFor(() => client.query("INSERT INTO entries (key, value) VALUES ('first', 'x') ON CONFLICT DO NOTHING"));
    await client.end();
    return { deployment, links };
};

interface QueryOutcome {
    readonly sentAtMs: number;
    readonly answeredAtMs: number;
    readonly error: string;
}

/** Runs statements one after the other on one session until the test ends. */
const runStatements = async (client: pg.Client, text: (number: number) => string, outcomes: QueryOutcome[]): Promise<void> => {
    let isOver = false;
    cleanups.push(() => {
        isOver = true;
    });
    for (let number = 0; !isOver; number++) {
        const sentAtMs = performance.now();
        const error = await client.query(text(number)).then(() => "", (reason: Error) => reason.message);
        outcomes.push({ sentAtMs, answeredAtMs: performance.now(), error });
        await delay(20);
    }
};

const { Both, ToClient, ToServer } = LostDirection;

it.each(
    [
        ["writes", Both, 1],
        ["reads", ToClient, 1],
        ["writes", ToServer, 2],
    ] as const,
)(
    "%s at a PostgreSQL proxy fail after one time limit when its connections to the instances went silent (%s, %i times)",
    async (kind, lost, count) => {
        const { deployment, links } = await startWithLinks();
        const outcomes: QueryOutcome[] = [];
        for (let index = 0; index < SESSION_COUNT; index++) {
            const client = await deployment.connect(0);
            const write = (number: number): string => `INSERT INTO entries (key, value) VALUES ('${index}-${number}', 'x')`;
            void runStatements(client, kind === "writes" ? write : () => "SELECT count(*) FROM entries", outcomes);
        }
        await delay(2_000);
        expect(outcomes.filter(({ error }) => error === "").length).toBeGreaterThan(20);
        let silencedAtMs = 0;
        for (let index = 0; index < count; index++) {
            while (links.reduce((sum, link) => sum + link.silence(lost), 0) === 0) {
                await delay(20);
            }
            silencedAtMs = performance.now();
        }
        await delay(STATEMENT_LIMIT_MS + 4_000);
        const late = outcomes.filter(({ error, answeredAtMs }) => error !== "" && answeredAtMs > silencedAtMs + STATEMENT_LIMIT_MS);
        expect(late).toEqual([]);
        expect(outcomes.filter(({ sentAtMs }) => sentAtMs > silencedAtMs + STATEMENT_LIMIT_MS).length).toBeGreaterThan(20);
    },
);

it("a caller or a backend server that is gone without closing its connection is not noticed", async () => {
    const { deployment, links } = await startWithLinks();
    const client = await deployment.connect(0);
    await client.query("SELECT count(*) FROM entries");
    // A connection on which data is under way is probed once it is idle again.
    await expect.poll(() => countKeepAliveTimers(deployment.vms[0]!.callerPort, "local")).toEqual({ connections: 1, probed: 1 });
    for (const { address } of links) {
        const readUnprobed = (): number => {
            const { connections, probed } = countKeepAliveTimers(Number(address.split(":")[1]), "remote");
            return connections === 0 ? -1 : connections - probed;
        };
        await expect.poll(readUnprobed, { interval: 10, timeout: 5_000 }).toBe(0);
    }
});
