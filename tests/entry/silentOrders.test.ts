import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { LostDirection, type SilentLink } from "../support/SilentLink.ts";
import { EntryDeployment } from "./support/EntryDeployment.ts";
import { waitForService } from "./support/waitForService.ts";

/** Time within which a change of primary is to be over. */
const REPLACEMENT_LIMIT_MS = 12_000;
const ORDER = /POST \/promote/;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

/** Loses `count` orders, one after the other, and what is answered to them. */
const loseOrders = async (link: SilentLink, count: number): Promise<void> => {
    for (let index = 0; index < count; index++) {
        link.isCut = true;
        await link.waitForMessage(ORDER);
    }
    link.isCut = false;
};

/** Loses the answers to `count` orders, one after the other. */
const loseAnswers = async (link: SilentLink, count: number): Promise<void> => {
    for (let index = 0; index < count; index++) {
        await link.waitForMessage(ORDER);
        link.silence(LostDirection.ToClient);
    }
};

it.each(
    [
        ["the order", loseOrders, 1],
        ["two orders", loseOrders, 2],
        ["the answer", loseAnswers, 1],
        ["two answers", loseAnswers, 2],
    ] as const,
)("a primary is not replaced when the connection that takes the order goes silent and loses %s", async (_what, lose, count) => {
    const deployment = await EntryDeployment.create();
    cleanups.push(() => deployment.close());
    const link = await deployment.openLink(deployment.orders.address);
    const vm = await deployment.startVm({ ordersAddress: link.address });
    await delay(1_500);
    expect(await waitForService(vm.callerPort, "writes", REPLACEMENT_LIMIT_MS)).toBeLessThan(1_000);
    void lose(link, count);
    deployment.group.primary!.crash();
    expect(await waitForService(vm.callerPort, "writes", REPLACEMENT_LIMIT_MS + 5_000)).toBeLessThan(REPLACEMENT_LIMIT_MS);
    const promoted = new Set(deployment.orders.orders.map(({ id, fence }) => `${id} ${fence}`));
    expect(promoted.size).toBe(1);
});
