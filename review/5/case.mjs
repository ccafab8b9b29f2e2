import { join } from "node:path";
import { Caller } from "../standins/caller.mjs";
import { DATABASES, runCase, startDeployment } from "../standins/deployment.mjs";
import { BOUNDS } from "../standins/fleet.mjs";
import { sleep } from "../standins/ports.mjs";
import { Record } from "../standins/record.mjs";
import { Silencer } from "../standins/silencer.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const VM_NAMES = ["front-cluj-a-1", "front-cluj-b-1"];
const SESSIONS_PER_VM = 3;
const REQUEST_INTERVAL_MS = 10;
const DRAIN_AFTER_MS = 500;
/** "It continues serving for `drain_ms` after the store has accepted that report and a little longer (at times many seconds)". */
const SERVING_MS = BOUNDS.drainMs + 5_000;
const AFTER_LEAVING_MS = 3_000;
/** The replicas are in another region than the primary, 12 ms away, as on the site. */
const RECEIVE_MS = 12;

const record = new Record(join(import.meta.dirname, "record.txt"));

/** Sends single writes on a session, which is opened again when it breaks. */
const sendWrites = async (name, vm, counts, isOver) => {
    let caller;
    for (let number = 0; !isOver(); number++) {
        caller = caller === undefined || caller.isBroken ? await Caller.open(vm.callerPort, DATABASES.primary) : caller;
        const id = `${name}-${number}`;
        record.add(`${id} WRITE 1a4 ${id} sent to ${vm.name}`);
        const { isBroken = true, proof, error } = await caller?.run(id, `WRITE 1a4 ${id}`) ?? {};
        const outcome = isBroken ? "broken off" : error?.split(" ")[0] ?? "success";
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
        record.add(`${id} ${outcome} ${proof ?? ""}`);
        await sleep(REQUEST_INTERVAL_MS);
    }
    caller?.close();
};

await runCase(record, async () => {
    let link;
    const openLink = async store => {
        link = new Silencer(store.port);
        await link.start();
        return link.port;
    };
    const { vms, group, stop } = await startDeployment(VM_NAMES, record, { receiveMs: RECEIVE_MS }, openLink);
    const [primary] = group.instances;
    const acknowledged = new Set();
    group.onAcknowledged = (_instance, { writes }) => writes.forEach(({ id }) => acknowledged.add(id));
    let drainedAtMs = Infinity;
    let silencedAtMs = -Infinity;
    const late = [];
    group.onArrived = (instance, id, text) => {
        const nowMs = performance.now();
        if (id === "-" || text === undefined) {
            return;
        }
        record.add(`${id} ${text} arrived at ${instance.id}`);
        const isInTouch = nowMs - silencedAtMs > BOUNDS.contactMs;
        if (instance === primary && isInTouch && nowMs - drainedAtMs > BOUNDS.drainMs) {
            late.push({ id, afterMs: Math.round(nowMs - drainedAtMs) });
        }
    };
    try {
        vms.forEach(vm => vm.start());
        if (!(await Promise.all(vms.map(vm => vm.waitUntilReady(15_000)))).every(Boolean)) {
            throw new Error("the proxies did not become ready");
        }
        await sleep(BOUNDS.contactMs + 1_000);
        let hasEnded = false;
        const counts = new Map();
        const names = vms.flatMap(vm => Array.from({ length: SESSIONS_PER_VM }, (_each, index) => [`${vm.name}/${index + 1}`, vm]));
        const writers = names.map(([name, vm]) => sendWrites(name, vm, counts, () => hasEnded));
        await sleep(1_000);
        if (HAS_TROUBLE) {
            const count = link.silence(/GET \/-\/rows-feed\?table=servers&/);
            silencedAtMs = performance.now();
            record.say(`${count} open connections to the store go silent; new ones work`);
        }
        await sleep(DRAIN_AFTER_MS);
        primary.drain();
        drainedAtMs = performance.now();
        await sleep(SERVING_MS);
        record.say(`${primary.id}: ${primary.isPrimary ? "still the primary" : "a replica"}, ends now`);
        primary.leave();
        await sleep(AFTER_LEAVING_MS);
        hasEnded = true;
        await Promise.all(writers);
        const kept = new Set(group.primary?.log.flatMap(({ writes }) => writes.map(({ id }) => id)));
        const lostCount = [...acknowledged].filter(id => !kept.has(id)).length;
        record.say(`${acknowledged.size} commits were acknowledged by the instances; the log of the new primary lacks ${lostCount}`);
        counts.forEach((count, outcome) => record.say(`${count} writes: ${outcome}`));
        const [first, last] = [late[0], late.at(-1)];
        record.say(`${late.length} requests reached ${primary.id} later than ${BOUNDS.drainMs} ms after its report that it drains`);
        if (first !== undefined) {
            record.say(`the first one ${first.afterMs} ms after it (${first.id}), the last one ${last.afterMs} ms after it (${last.id})`);
        }
        return late.length > 0;
    }
    finally {
        stop();
        link.stop();
    }
});
