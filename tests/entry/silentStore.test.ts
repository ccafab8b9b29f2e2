import { createConfigurationRow } from "@pomeloturn/platform/support/configurationRow";
import { feedCallOf } from "@pomeloturn/platform/support/feedCallOf";
import { LineGroup } from "@pomeloturn/platform/support/LineGroup";
import { CONFIGURATION_KEY, INSTANCE_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { LostDirection } from "../support/SilentLink.ts";
import { EntryDeployment, SERVICE, TIMEOUT_MS } from "./support/EntryDeployment.ts";
import { silenceAfterCall } from "./support/silenceAfterCall.ts";
import { waitForService } from "./support/waitForService.ts";

const OTHER_SERVICE = "archive";
/** Time after which an accepted configuration has to be in force at a VM that is in contact with the store. */
const CONFIGURATION_APPLY_MS = 3_000;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

const startDeployment = async (): Promise<EntryDeployment> => {
    const deployment = await EntryDeployment.create();
    cleanups.push(() => deployment.close());
    const { store } = deployment;
    store.write(
        OPERATOR_TABLE,
        CONFIGURATION_KEY,
        createConfigurationRow(SERVICE, TIMEOUT_MS, { version: 2, databases: { old: OTHER_SERVICE } }),
    );
    return deployment;
};

/** Changes in the store: the call of the feed that reads each one, and the database that can be written once a VM has read it. */
const changes = {
    /** The operator adds a route. */
    configuration: {
        feed: feedCallOf(OPERATOR_TABLE),
        apply: ({ store }: EntryDeployment): Promise<string> => {
            const databases = { old: OTHER_SERVICE, added: SERVICE };
            store.write(OPERATOR_TABLE, CONFIGURATION_KEY, createConfigurationRow(SERVICE, TIMEOUT_MS, { version: 3, databases }));
            return Promise.resolve("added");
        },
    },
    /** The first instance of a service reports. */
    instances: {
        feed: feedCallOf(INSTANCE_TABLE),
        apply: async ({ store }: EntryDeployment): Promise<string> => {
            const group = new LineGroup(OTHER_SERVICE, 0, (id, row) => store.write(INSTANCE_TABLE, id, row!));
            cleanups.push(() => group.close());
            await group.add("z");
            return "old";
        },
    },
} as const;

const { Both, ToClient, ToServer } = LostDirection;
const ALL = /(?:)/;

it.each(
    [
        ["configuration", 5_000, Both, 1, "its own"],
        ["configuration", 5_000, Both, 2, "all"],
        ["instances", 5_000, Both, 1, "its own"],
        ["instances", 5_000, ToClient, 1, "all"],
        ["instances", 5_000, ToServer, 2, "its own"],
        ["configuration", 2_000, ToServer, 2, "its own"],
        ["instances", 2_000, ToClient, 1, "its own"],
        ["instances", 2_000, Both, 1, "all"],
        ["configuration", 1_000, ToServer, 1, "its own"],
        ["instances", 1_000, Both, 2, "all"],
    ] as const,
)(
    "a change in the store's table of %s is read later than %i ms after connections to the store went silent (%s, %i times, %s feed)",
    async (change, contactMs, lost, count, which) => {
        const deployment = await startDeployment();
        const { callerPort } = await deployment.startVm({ contactMs });
        const { feed, apply } = changes[change];
        const [link] = deployment.storeLinks;
        await delay(2_000);
        for (let index = 0; index < count; index++) {
            await silenceAfterCall(link!, feed, lost, which === "all" ? ALL : feed);
        }
        const database = await apply(deployment);
        const durationMs = await waitForService(callerPort, database, contactMs + 10_000);
        expect(durationMs).toBeLessThan(contactMs);
    },
);

it("a connection that loses only what the VM sends hides a change that follows the answer to the last call", async () => {
    const contactMs = 5_000;
    const deployment = await startDeployment();
    const { callerPort } = await deployment.startVm({ contactMs });
    const { feed, apply } = changes.configuration;
    const [link] = deployment.storeLinks;
    await delay(2_000);
    await silenceAfterCall(link!, feed, ToServer, feed);
    const silencedAtMs = performance.now();
    // The store answers the call at the end of its wait.
    await link!.waitForAnswer(feed);
    await delay(100);
    const changedAtMs = performance.now();
    const database = await apply(deployment);
    await waitForService(callerPort, database, contactMs + 10_000);
    expect(performance.now()).toBeLessThan(Math.max(silencedAtMs + contactMs, changedAtMs + CONFIGURATION_APPLY_MS));
});
