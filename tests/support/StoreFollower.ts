import { DirectoryFeeds } from "@pomeloturn/entry/DirectoryFeeds";
import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Counters } from "@pomeloturn/logger/Counters";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";

const CONFIGURATION_WAIT_MS = 4_000;

/** A pool that opens no connections. */
const createUnusedPool = (): InstancePool => {
    const pool = { setLimit: () => {}, warmUp: () => {}, close: () => {}, retire: () => {}, tick: () => {} };
    return pool as unknown as InstancePool;
};

/** The part of a VM that follows the tables of a store. */
export class StoreFollower {
    readonly directory = ServiceDirectory.create(createUnusedPool);
    readonly counters = Counters.create();
    /** Names of the registered VMs. */
    members: readonly string[] = [];
    private readonly abortController = new AbortController();

    private constructor(private readonly store: StoreClient) {}

    /** @param address "host:port" of the store */
    static start(address: string, logger: ProcessLogger): StoreFollower {
        const follower = new StoreFollower(StoreClient.create(address));
        DirectoryFeeds.create({
            reader: follower.store,
            directory: follower.directory,
            logger,
            counters: follower.counters,
            signal: follower.abortController.signal,
            configurationWaitMs: CONFIGURATION_WAIT_MS,
            onConfigurationFeedFailed: () => follower.store.reconnect(),
            onMembersChanged: members => {
                follower.members = [...members.keys()];
            },
            onEraRead: () => {},
            onAuthorityChanged: () => {},
        }).start();
        return follower;
    }

    /** Ids of the instances that can be used, in order. */
    get listedIds(): readonly string[] {
        return [...this.directory.services.values()].flatMap(({ instances }) => [...instances.keys()]).sort();
    }

    stop(): void {
        this.abortController.abort();
        this.store.reconnect();
    }
}
