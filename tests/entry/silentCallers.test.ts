import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { countKeepAliveTimers } from "../support/countKeepAliveTimers.ts";
import { LostDirection } from "../support/SilentLink.ts";
import { EntryDeployment } from "./support/EntryDeployment.ts";

/** The default of `tx_idle_ms`. */
const TRANSACTION_IDLE_MS = 3_000;
const MARGIN_MS = 700;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

it.each([LostDirection.Both, LostDirection.ToServer, LostDirection.ToClient])(
    "a caller whose connection goes silent (%s) in a transaction keeps the connection to the instance",
    async lost => {
        const deployment = await EntryDeployment.create();
        cleanups.push(() => deployment.close());
        const vm = await deployment.startVm();
        const link = await deployment.openLink(`127.0.0.1:${vm.callerPort}`);
        const caller = (await LineCaller.open(Number(link.address.split(":")[1]), "writes"))!;
        cleanups.push(() => caller.close());
        await caller.run("a-1", "BEGIN");
        expect(await caller.run("a-2", "WRITE 1a4 x")).toMatchObject({ kind: "complete" });
        const primary = deployment.group.primary!;
        expect(primary.openTransactionCount).toBe(1);
        link.silence(lost);
        void caller.run("a-3", "WRITE 1a4 y");
        await delay(TRANSACTION_IDLE_MS + MARGIN_MS);
        expect(primary.openTransactionCount).toBe(0);
    },
);

it("a caller that is gone without closing its connection keeps its session for good", async () => {
    const deployment = await EntryDeployment.create();
    cleanups.push(() => deployment.close());
    const vm = await deployment.startVm();
    const caller = (await LineCaller.open(vm.callerPort, "writes"))!;
    cleanups.push(() => caller.close());
    await delay(200);
    expect(countKeepAliveTimers(vm.callerPort, "local")).toEqual({ connections: 1, probed: 1 });
});
