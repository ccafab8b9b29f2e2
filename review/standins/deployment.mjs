import { DatabaseGroup } from "./database.mjs";
import { createFleet } from "./fleet.mjs";
import { Orders } from "./orders.mjs";
import { Store } from "./store.mjs";

export const SERVICE = "log-core";

/** Databases of the sample configuration, one of each type of route. */
export const DATABASES = { primary: "file-notice", bounded: "lookup-history", own: "partner-sync" };

const ROUTE = { prefix: "/", service: SERVICE, max_attempts: 2 };

/** A configuration like the one that `fleetbench wire` shows, with one database group. */
const createConfiguration = (syncReplicas, connectionLimit) => ({
    version: 7,
    routes: [
        { ...ROUTE, name: "r-1", host: DATABASES.primary, type: "primary", timeout_ms: 800, target_latency_ms: 400, priority: 0 },
        {
            ...ROUTE,
            name: "r-2",
            host: DATABASES.bounded,
            type: "bounded_staleness",
            timeout_ms: 1_500,
            target_latency_ms: 600,
            priority: 1,
            max_staleness_ms: 1_500,
        },
        {
            ...ROUTE,
            name: "r-3",
            host: DATABASES.own,
            type: "read_your_writes",
            timeout_ms: 800,
            target_latency_ms: 1_500,
            priority: 2,
            max_staleness_ms: 2_500,
        },
    ],
    services: [{ name: SERVICE, health_path: "/health", max_conns: connectionLimit, protocol: "h1", tls: false, sync_replicas: syncReplicas }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, tx_idle_ms: 3_000 },
});

/**
 * Starts the stand-ins of a small deployment: a store, an order interface and one database group of three instances.
 *
 * @param storePort returns the port at which a VM reaches the store, from the store and the name of the VM
 */
export const startDeployment = async (vmNames, record, { graceS, areFencesChecked = true, ...groupOptions } = {}, storePort = store => store.port) => {
    const store = new Store();
    await store.start();
    const group = new DatabaseGroup(SERVICE, store, record, groupOptions);
    await group.addInstance("i-7f3a91c2", "cluj-a");
    await group.addInstance("i-2b60d4e8", "cluj-b");
    await group.addInstance("i-94c1e7a5", "buc-a");
    store.write("op", "config", createConfiguration(group.syncReplicas, group.connectionLimit));
    const orders = new Orders([group], areFencesChecked, record);
    await orders.start();
    const settings = { ordersPort: orders.port, graceS, areFencesChecked };
    const fleet = await createFleet(vmNames, name => storePort(store, name), settings, record);
    cleanups.push(fleet.stop);
    return {
        store,
        group,
        orders,
        ...fleet,
        stop: () => {
            fleet.stop();
            group.stop();
            orders.stop();
            store.stop();
        },
    };
};

/** Functions that end the processes that the case has started. */
const cleanups = [];

/** A case that takes longer than this could not run. */
const TIME_LIMIT_MS = 110_000;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export const runCase = async (record, run) => {
    let exitCode = 2;
    const giveUp = reason => {
        record.say(`the case could not run: ${reason}`);
        record.save();
        cleanups.forEach(cleanUp => cleanUp());
        process.exit(2);
    };
    setTimeout(() => giveUp(`it took over ${TIME_LIMIT_MS} ms`), TIME_LIMIT_MS).unref();
    process.on("SIGTERM", () => giveUp("SIGTERM"));
    process.on("SIGINT", () => giveUp("SIGINT"));
    try {
        const isBroken = await run();
        exitCode = isBroken ? 1 : 0;
        record.say(isBroken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        record.say(`the case could not run: ${error.stack ?? error}`);
    }
    record.save();
    process.exit(exitCode);
};
