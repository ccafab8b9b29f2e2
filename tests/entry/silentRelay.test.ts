import { createConfigurationRow } from "@pomeloturn/platform/support/configurationRow";
import { feedCallOf } from "@pomeloturn/platform/support/feedCallOf";
import { CONFIGURATION_KEY, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import { orderRelays } from "@pomeloturn/table-relay/chooseRelay";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, expect, it } from "vitest";
import { LostDirection, type SilentLink } from "../support/SilentLink.ts";
import { EntryDeployment, SERVICE, TIMEOUT_MS } from "./support/EntryDeployment.ts";
import type { EntryProcess } from "./support/EntryProcess.ts";
import { silenceAfterCall } from "./support/silenceAfterCall.ts";
import { waitForService } from "./support/waitForService.ts";

/** Number of VMs of a failure domain from which on one of them relays. */
const VM_COUNT = 4;
const CONTACT_MS = 5_000;
/** Time after which an accepted configuration has to be in force at a VM that is in contact with the store. */
const CONFIGURATION_APPLY_MS = 3_000;
const LIMIT_MS = 15_000;
const FEED = feedCallOf(OPERATOR_TABLE);
const ALL = /(?:)/;

let deployment: EntryDeployment;
let relay: EntryProcess;
let relayLink: SilentLink;
let followers: EntryProcess[];

beforeEach(async () => {
    deployment = await EntryDeployment.create();
    await Promise.all(Array.from({ length: VM_COUNT }, () => deployment.startVm()));
    // The VMs have read each other's registrations and follow the relay.
    await delay(4_000);
    const [first] = orderRelays(deployment.vms.map(({ vm, relayAddress }) => ({ vm, relayAddress, failureDomain: "north-a" })), "north-a");
    relay = deployment.vms.find(({ vm }) => vm === first!.vm)!;
    relayLink = deployment.storeLinks[deployment.vms.indexOf(relay)]!;
    followers = deployment.vms.filter(vm => vm !== relay);
});
afterEach(() => {
    relay.process.kill("SIGCONT");
    deployment.close();
});

/** Adds a route. @returns the time until each VM uses it, in milliseconds */
const addRoute = (vms: readonly EntryProcess[]): Promise<number[]> => {
    const row = createConfigurationRow(SERVICE, TIMEOUT_MS, { version: 2, databases: { added: SERVICE } });
    deployment.store.write(OPERATOR_TABLE, CONFIGURATION_KEY, row);
    return Promise.all(vms.map(({ callerPort }) => waitForService(callerPort, "added", LIMIT_MS)));
};

const { Both, ToClient, ToServer } = LostDirection;

it.each([[Both, 1], [Both, 2], [ToClient, 1], [ToServer, 2]] as const)(
    "a VM that reads through a relay misses a change while the relay's connections to the store are silent (%s, %i times)",
    async (lost, count) => {
        for (let index = 0; index < count; index++) {
            await silenceAfterCall(relayLink, FEED, lost, ALL);
        }
        expect(Math.max(...await addRoute(deployment.vms))).toBeLessThan(CONTACT_MS);
    },
);

it("a VM that reads through a relay misses a change when its own connections to the store have gone silent with those of the relay", async () => {
    await silenceAfterCall(relayLink, FEED, Both, ALL);
    deployment.storeLinks.forEach(link => link.silence(Both));
    expect(Math.max(...await addRoute(deployment.vms))).toBeLessThan(CONTACT_MS);
});

it("a VM that reads through a relay misses a change while the relay is suspended", async () => {
    relay.process.kill("SIGSTOP");
    expect(Math.max(...await addRoute(followers))).toBeLessThan(CONFIGURATION_APPLY_MS);
});

it("a VM that reads through a relay misses a change while the relay cannot reach the store", async () => {
    relayLink.isCut = true;
    expect(Math.max(...await addRoute(followers))).toBeLessThan(CONFIGURATION_APPLY_MS);
});
