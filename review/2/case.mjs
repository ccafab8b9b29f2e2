import { join } from "node:path";
import { Caller } from "../standins/caller.mjs";
import { DATABASES, runCase, startDeployment } from "../standins/deployment.mjs";
import { BOUNDS } from "../standins/fleet.mjs";
import { sleep } from "../standins/ports.mjs";
import { Record } from "../standins/record.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const VM_NAMES = ["front-cluj-a-1", "front-cluj-b-1"];
const SESSIONS_PER_VM = 2;
const WRITE_INTERVAL_MS = 40;
/** Time from the report of the replica that it drains to the silence at the other one, and from there to the crash. */
const DEAF_AFTER_MS = 500;
const CRASH_AFTER_MS = 1_500;
/** The replica receives nothing for less than the 6 s of the site's days. */
const DEAF_MS = 5_500;
const AFTER_CRASH_MS = 6_000;

const record = new Record(join(import.meta.dirname, "record.txt"));

/** Sends single writes on a session, which is opened again when it breaks. @param acknowledged receives the id of each write with success */
const sendWrites = async (name, vm, acknowledged, isOver) => {
    let caller;
    for (let number = 0; !isOver(); number++) {
        caller = caller === undefined || caller.isBroken ? await Caller.open(vm.callerPort, DATABASES.primary) : caller;
        const id = `${name}-${number}`;
        const { isBroken = true, proof, error } = await caller?.run(id, `WRITE 1a4 ${id}`) ?? {};
        record.add(`${id} WRITE 1a4 ${id}: ${isBroken ? "broken off" : error ?? proof}`);
        if (!isBroken && error === undefined) {
            acknowledged.add(id);
        }
        await sleep(WRITE_INTERVAL_MS);
    }
    caller?.close();
};

const describe = instance => `${instance.id}${instance.isDraining ? " (draining)" : ""} ${instance.log.length}`;

await runCase(record, async () => {
    const { vms, group, stop } = await startDeployment(VM_NAMES, record, { syncReplicas: 1 });
    const [primary, leaving, staying] = group.instances;
    const acknowledged = new Set();
    const lost = [];
    group.onPromoted = next => {
        const kept = new Set(next.log.flatMap(({ writes }) => writes.map(({ id }) => id)));
        const missing = [...acknowledged].filter(id => !kept.has(id));
        lost.push(...missing);
        record.say(`${next.id} is promoted; of ${acknowledged.size} acknowledged commits its log lacks ${missing.length}`);
        missing.forEach(id => record.add(`${id} was acknowledged and is not in the log of ${next.id}`));
    };
    try {
        vms.forEach(vm => vm.start());
        if (!(await Promise.all(vms.map(vm => vm.waitUntilReady(15_000)))).every(Boolean)) {
            throw new Error("the proxies did not become ready");
        }
        await sleep(BOUNDS.contactMs + 1_000);
        let hasEnded = false;
        const names = vms.flatMap(vm => Array.from({ length: SESSIONS_PER_VM }, (_each, index) => [`${vm.name}/${index + 1}`, vm]));
        const writers = names.map(([name, vm]) => sendWrites(name, vm, acknowledged, () => hasEnded));
        await sleep(1_000);
        leaving.drain();
        await sleep(DEAF_AFTER_MS);
        if (HAS_TROUBLE) {
            staying.isDeaf = true;
            record.say(`${staying.id}: receives nothing`);
            setTimeout(() => {
                staying.isDeaf = false;
                record.say(`${staying.id}: receives again`);
            }, DEAF_MS).unref();
        }
        await sleep(CRASH_AFTER_MS);
        record.say(`commits received: ${group.instances.map(describe).join(", ")}`);
        if (HAS_TROUBLE) {
            primary.crash();
        }
        await sleep(AFTER_CRASH_MS);
        hasEnded = true;
        await Promise.all(writers);
        record.say(`commits received: ${group.instances.map(describe).join(", ")}`);
        record.say(`${acknowledged.size} writes were acknowledged; ${lost.length} of them are lost`);
        return lost.length > 0;
    }
    finally {
        stop();
    }
});
