// The replicas of a service are replaced one after the other, and its primary is partitioned from one of three machines meanwhile.
import { Caller, configure, createRoute, delay, nextId, runCase } from "../standins-3/harness.mjs";

/** Time between two steps of the release, as `gap_s` is by default. */
const GAP_MS = 1_000;
/** Length of the partition; `primary_cut` takes 5 s at most on the site. */
const CUT_MS = 5_000;
/** Time from the start of the partition to the first step of the release. */
const RELEASE_AFTER_MS = 3_000;
/** Time that an old replica reports `draining` before it exits: `drain_ms` and a little longer. */
const DRAIN_MS = 8_000;
const WRITERS_PER_MACHINE = 3;
const PAUSE_MS = 20;
const NODES = ["front-1", "front-2", "front-3"];

await runCase(import.meta.dirname, async ({ record, store, addGroup, addProxy, hasTrouble }) => {
    const group = await addGroup("svc", ["i-1", "i-2", "i-3"]);
    Object.assign(group, { syncReplicas: 1, promoteMs: 1_000, lagMs: 8 });
    configure(store, 10, [createRoute("db", "svc", "primary")], [{ name: "svc", max_conns: 48, sync_replicas: 1 }]);
    const proxies = await Promise.all(NODES.map(node => addProxy(node)));
    for (const proxy of proxies) {
        if (!await proxy.untilReady()) {
            throw new Error(`the proxy did not start: ${proxy.output}`);
        }
    }
    group.onArrived = (instance, id, command) => record.add(`arrived: ${id} ${instance.id} ${command[0]}`);
    const acknowledged = new Map();
    const lost = new Set();
    group.onLead = next => {
        const held = new Set(next.log.flat());
        const missing = [...acknowledged.keys()].filter(id => !held.has(id) && !lost.has(id));
        record.add(`${next.id} is promoted with ${next.log.length} commits; ${acknowledged.size} writes were acknowledged, ${missing.length} of them are newly missing in its log`);
        missing.forEach(id => {
            lost.add(id);
            record.add(`lost: write ${id}, ${acknowledged.get(id)}`);
        });
    };
    let isOver = false;
    const counts = { complete: 0, error: 0, broken: 0, silent: 0 };
    const write = async proxy => {
        while (!isOver) {
            const caller = await Caller.open(proxy.front, "db");
            for (let isUsable = caller.isOpen; isUsable && !isOver; await delay(PAUSE_MS)) {
                const id = nextId();
                record.add(`sent: ${id} ${proxy.node} WRITE`);
                const { kind, text } = await caller.run(id, `WRITE 1a4 d${id}`);
                counts[kind]++;
                record.add(`answered: ${id} ${proxy.node} ${kind} ${text}`);
                if (kind === "complete") {
                    acknowledged.set(id, `acknowledged through ${proxy.node} with ${text}`);
                }
                isUsable = kind === "complete" || kind === "error";
            }
            caller.close();
            await delay(PAUSE_MS);
        }
    };
    const writers = proxies.flatMap(proxy => Array.from({ length: WRITERS_PER_MACHINE }, () => write(proxy)));
    await delay(9_000);
    const [primary, ...replicas] = group.instances;
    if (hasTrouble) {
        record.add(`${primary.id} is partitioned from ${NODES[0]}`);
        primary.cutFrom.add(NODES[0]);
        setTimeout(() => {
            primary.cutFrom.clear();
            record.add("the partition is over");
        }, CUT_MS);
    }
    await delay(RELEASE_AFTER_MS);
    for (const [index, old] of (process.env.RELEASE === "0" ? [] : replicas).entries()) {
        const next = await group.add(`i-${index + 4}`);
        record.add(`the release: ${next.id} has started, ${old.id} drains in ${GAP_MS} ms`);
        setTimeout(() => old.drain(), GAP_MS);
        setTimeout(() => {
            old.crash();
            store.write("servers", old.id, undefined);
            record.add(`the release: ${old.id} has left`);
        }, GAP_MS + DRAIN_MS);
        await delay(GAP_MS);
    }
    await delay(DRAIN_MS + 2_000);
    isOver = true;
    await Promise.all(writers);
    for (const { node, output } of proxies) {
        const lines = output.split("\n").filter(line => /replac|promot|listing/.test(line));
        lines.forEach(line => record.add(`log of ${node}: ${line.replace(/,"_meta".*"date":("[^"]*").*/, " $1")}`));
    }
    record.add(`answers to the writes: ${JSON.stringify(counts)}; acknowledged and lost: ${lost.size}`);
    return lost.size === 0;
});
