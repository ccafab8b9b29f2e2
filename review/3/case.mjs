import { join } from "node:path";
import { Caller } from "../standins/caller.mjs";
import { DATABASES, runCase, startDeployment } from "../standins/deployment.mjs";
import { BOUNDS } from "../standins/fleet.mjs";
import { sleep } from "../standins/ports.mjs";
import { Record } from "../standins/record.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const VM_NAMES = ["front-cluj-a-1", "front-cluj-b-1"];
const SESSION_COUNT = 6;
const WORK_MS = 100;
/** Calm before the SIGTERM: the start of the processes is longer ago than `contact_ms`. */
const CALM_MS = BOUNDS.contactMs + 1_000;
/** Pause between the statements of a transaction. */
const PAUSE_MS = 30;
const WRITE_COUNT = 10;
/** What the sessions do, by turns. Each operation follows the one before without a pause. */
const KINDS = [
    { database: DATABASES.bounded, timeoutMs: 1_500, texts: () => ["READ 1a4"] },
    { database: DATABASES.primary, timeoutMs: 800, texts: name => [`WRITE 1a4 ${name}`] },
    {
        database: DATABASES.primary,
        timeoutMs: 800,
        texts: name => ["BEGIN", ...Array.from({ length: WRITE_COUNT }, (_each, index) => `WRITE 1a${index} ${name}`), "COMMIT"],
    },
];
const GRACE_MS = BOUNDS.graceS * 1_000;

const record = new Record(join(import.meta.dirname, "record.txt"));

/**
 * Whether a request that was broken off counts for LOST: sent after the SIGTERM, broken off until 1 s after `grace_s`, and
 * passed on to an instance or broken off later than `loss_slack_ms` after its last byte. Not counted: the route's timeout was
 * reached, or the instance was still at work in the last sixth of `grace_s` on a request sent no later than 3 s after the SIGTERM.
 */
const isLost = ({ sentAtMs, brokenAtMs, arrivedAtMs, timeoutMs }, terminatedAtMs) => {
    const isAround = sentAtMs >= terminatedAtMs && brokenAtMs <= terminatedAtMs + GRACE_MS + 1_000;
    const isAccepted = arrivedAtMs !== undefined || brokenAtMs - sentAtMs > BOUNDS.lossSlackMs;
    const isTimedOut = brokenAtMs - sentAtMs >= timeoutMs;
    const isExcused = brokenAtMs >= terminatedAtMs + GRACE_MS * 5 / 6 && sentAtMs <= terminatedAtMs + 3_000;
    return isAround && isAccepted && !isTimedOut && !isExcused;
};

/** Runs operations on a session, each as soon as the one before is answered. After a close the session is opened at the other VM. */
const runSession = async (name, { database, timeoutMs, texts }, vms, arrivals, broken, isOver) => {
    let caller;
    let vm;
    for (let number = 0; !isOver(); number++) {
        if (caller === undefined || caller.isBroken) {
            vm = vm === undefined ? vms[0] : vms[1];
            caller = await Caller.open(vm.callerPort, database);
            record.add(`${name}: opened at ${vm.name}`);
        }
        for (const [index, text] of texts(name).entries()) {
            if (index > 0) {
                await sleep(PAUSE_MS);
            }
            if (caller === undefined || caller.isBroken) {
                break;
            }
            const id = `${name}-${number}-${index}`;
            const sentAtMs = performance.now();
            record.add(`${id} ${text} sent to ${vm.name}`);
            const { isBroken, proof, error } = await caller.run(id, text);
            record.add(`${id} ${isBroken ? "broken off without an answer" : `answered: ${error ?? proof}`}`);
            if (isBroken) {
                broken.push({ id, text, vm: vm.name, sentAtMs, brokenAtMs: performance.now(), arrivedAtMs: arrivals.get(id), timeoutMs });
            }
        }
    }
    caller?.close();
};

await runCase(record, async () => {
    const { vms, group, stop } = await startDeployment(VM_NAMES, record, { workMs: WORK_MS });
    const arrivals = new Map();
    group.onArrived = (instance, id) => {
        if (id !== "-") {
            arrivals.set(id, performance.now());
            record.add(`${id} arrived at ${instance.id}`);
        }
    };
    try {
        vms.forEach(vm => vm.start());
        if (!(await Promise.all(vms.map(vm => vm.waitUntilReady(15_000)))).every(Boolean)) {
            throw new Error("the proxies did not become ready");
        }
        await sleep(CALM_MS);
        const broken = [];
        let hasEnded = false;
        const names = Array.from({ length: SESSION_COUNT }, (_each, index) => `s${index + 1}`);
        const sessions = names.map((name, index) => runSession(name, KINDS[index % KINDS.length], vms, arrivals, broken, () => hasEnded));
        await sleep(2_000);
        const terminatedAtMs = performance.now();
        if (HAS_TROUBLE) {
            record.say(`SIGTERM to ${vms[0].name}`);
            await vms[0].terminate();
            record.say(`${vms[0].name} has ended ${Math.round(performance.now() - terminatedAtMs)} ms after the SIGTERM`);
            await sleep(1_000);
        }
        else {
            await sleep(GRACE_MS + 1_000);
        }
        hasEnded = true;
        await Promise.all(sessions);
        const lost = broken.filter(each => isLost(each, terminatedAtMs));
        lost.forEach(({ id, text, vm, sentAtMs, brokenAtMs, arrivedAtMs }) => {
            const [sent, arrived, cut] = [sentAtMs, arrivedAtMs, brokenAtMs].map(atMs => Math.round(atMs - terminatedAtMs));
            record.say(`${id} ${text} at ${vm}: sent ${sent} ms after the SIGTERM, at the instance at ${arrived} ms, cut at ${cut} ms`);
        });
        record.say(`${arrivals.size} requests reached an instance, ${broken.length} were broken off, ${lost.length} of them lost`);
        return lost.length > 0;
    }
    finally {
        stop();
    }
});
