import { join } from "node:path";
import { Caller } from "../standins/caller.mjs";
import { DATABASES, runCase, startDeployment } from "../standins/deployment.mjs";
import { sleep } from "../standins/ports.mjs";
import { Record } from "../standins/record.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const VM_NAMES = ["front-cluj-a-1", "front-cluj-a-2", "front-cluj-b-1"];
const RUN_MS = 40_000;
const REQUEST_INTERVAL_MS = 100;
/** Fault: "processes end by themselves three times in the day" ... */
const OWN_END_LIMIT = 3;
/** ... "on a tenth of the machines in use (two at least)". */
const MACHINE_LIMIT = Math.max(2, Math.ceil(VM_NAMES.length / 10));

/** An entry of another writer: each field has the right type, but no configuration names the service. */
const FOREIGN_ENTRY = {
    service: "audit/nightly",
    address: "127.0.0.1:9",
    zone: "cluj-a",
    version: "v1",
    slots: 2,
    state: "ready",
    cold_remaining_ms: 0,
    db_role: "replica",
    seq: 1,
};

const record = new Record(join(import.meta.dirname, "record.txt"));

/** Sends one read after the other to a VM, on new sessions after breaks, until `isOver`. */
const sendReads = async (vm, counts, isOver) => {
    let caller;
    for (let number = 0; !isOver(); number++) {
        caller = caller === undefined || caller.isBroken ? await Caller.open(vm.callerPort, DATABASES.bounded) : caller;
        const id = `${vm.name}-${number}`;
        const { isBroken = true, proof, error } = await caller?.run(id, "READ 1a4") ?? {};
        const outcome = isBroken ? "not served: no session or a broken connection" : error ?? "success";
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
        record.add(`${id} READ 1a4: ${outcome} ${proof ?? ""}`);
        await sleep(REQUEST_INTERVAL_MS);
    }
    caller?.close();
};

await runCase(record, async () => {
    const { vms, store, stop } = await startDeployment(VM_NAMES, record);
    try {
        vms.forEach(vm => vm.start());
        const isStarted = (await Promise.all(vms.map(vm => vm.waitUntilReady(15_000)))).every(Boolean);
        if (!isStarted) {
            throw new Error("the proxies did not become ready");
        }
        record.say("all proxies are ready");
        const endsAtMs = performance.now() + RUN_MS;
        const isOver = () => performance.now() >= endsAtMs;
        const counts = new Map();
        const requests = vms.map(vm => sendReads(vm, counts, isOver));
        await sleep(3_000);
        if (HAS_TROUBLE) {
            store.write("servers", "i-00c0ffee", FOREIGN_ENTRY);
            record.say(`another writer's entry stands in servers/: ${JSON.stringify(FOREIGN_ENTRY)}`);
        }
        await Promise.all(requests);
        counts.forEach((count, outcome) => record.say(`${count} requests: ${outcome}`));
        vms.forEach(vm => record.say(`${vm.name}: ${vm.ownEnds.length} ends by itself ${JSON.stringify(vm.ownEnds)}`));
        return vms.filter(vm => vm.ownEnds.length >= OWN_END_LIMIT).length >= MACHINE_LIMIT;
    }
    finally {
        stop();
    }
});
