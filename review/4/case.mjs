import { join } from "node:path";
import { Caller } from "../standins/caller.mjs";
import { DATABASES, runCase, startDeployment } from "../standins/deployment.mjs";
import { BOUNDS } from "../standins/fleet.mjs";
import { sleep } from "../standins/ports.mjs";
import { Record } from "../standins/record.mjs";
import { Silencer } from "../standins/silencer.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const VM_NAMES = ["front-cluj-a-1", "front-cluj-a-2", "front-cluj-b-1"];
const WRITE_INTERVAL_MS = 40;
/** "1,000 ms a promote" (SYSTEM.md). */
const PROMOTE_MS = 1_000;
/** The cut lasts as long as those of the site, `for_s = 5.5` of one machine; the primary crashes in it for 7 s. */
const CUT_MS = 5_500;
const CRASH_AFTER_MS = 1_000;
const CRASH_MS = 7_000;

const record = new Record(join(import.meta.dirname, "record.txt"));

/** Sends single writes to a VM on a session, which is opened again when it breaks. */
const sendWrites = async (vm, counts, isOver) => {
    let caller;
    for (let number = 0; !isOver(); number++) {
        caller = caller === undefined || caller.isBroken ? await Caller.open(vm.callerPort, DATABASES.primary) : caller;
        const id = `${vm.name}-${number}`;
        const { isBroken = true, proof, error } = await caller?.run(id, `WRITE 1a4 ${id}`) ?? {};
        const outcome = isBroken ? "broken off" : error?.split(" ")[0] ?? "success";
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
        record.add(`${id} WRITE 1a4 ${id}: ${outcome} ${proof ?? ""}`);
        await sleep(WRITE_INTERVAL_MS);
    }
    caller?.close();
};

/** Lists the orders whose fence is lower than one that another order has shown before, and those that share their fence with another holder's. */
const findBreaches = calls =>
    calls.filter(({ holder, fence }, index) =>
        calls.slice(0, index).some(earlier => earlier.fence > fence || (earlier.fence === fence && earlier.holder !== holder)));

/** Waits until a VM holds the authority to promote, as its row in the store says. */
const waitForHolder = async (holderOf, limitMs) => {
    const endsAtMs = performance.now() + limitMs;
    while (holderOf() === undefined) {
        if (performance.now() >= endsAtMs) {
            throw new Error("no VM has claimed the authority to promote");
        }
        await sleep(50);
    }
    return holderOf();
};

await runCase(record, async () => {
    const links = new Map();
    const openLink = async (store, name) => {
        const link = new Silencer(store.port);
        await link.start();
        links.set(name, link);
        return link.port;
    };
    const options = { areFencesChecked: false, promoteMs: PROMOTE_MS };
    const { vms, group, store, orders, stop } = await startDeployment(VM_NAMES, record, options, openLink);
    const [primary] = group.instances;
    let holder;
    store.onWrite = ({ key, value }) => {
        const row = JSON.parse(Buffer.from(value ?? "", "base64").toString("utf8") || "{}");
        record.add(`store: the row ${key} is written: ${JSON.stringify(row)}`);
        holder = row.holder ?? holder;
    };
    try {
        vms.forEach(vm => vm.start());
        if (!(await Promise.all(vms.map(vm => vm.waitUntilReady(15_000)))).every(Boolean)) {
            throw new Error("the proxies did not become ready");
        }
        await waitForHolder(() => holder, 15_000);
        await sleep(BOUNDS.contactMs + 1_000);
        record.say(`${holder} holds the authority to promote`);
        let hasEnded = false;
        const counts = new Map();
        const writers = vms.map(vm => sendWrites(vm, counts, () => hasEnded));
        await sleep(1_000);
        const link = links.get(holder);
        if (HAS_TROUBLE) {
            record.say(`${holder} is cut off from the store`);
            link.cut();
            setTimeout(() => {
                link.heal();
                record.say("the cut has healed");
            }, CUT_MS);
        }
        await sleep(CRASH_AFTER_MS);
        if (HAS_TROUBLE) {
            primary.crash();
        }
        await sleep(CRASH_MS);
        hasEnded = true;
        await Promise.all(writers);
        counts.forEach((count, outcome) => record.say(`${count} writes: ${outcome}`));
        const breaches = findBreaches(orders.calls);
        breaches.forEach(call => record.say(`broken by ${call.holder}: promotion of ${call.id} with fence ${call.fence}`));
        return breaches.length > 0;
    }
    finally {
        stop();
        links.forEach(link => link.stop());
    }
});
