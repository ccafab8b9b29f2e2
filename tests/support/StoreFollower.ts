import { DirectoryFeeds } from "@pomeloturn/entry/DirectoryFeeds";
import { Counters } from "@pomeloturn/logger/Counters";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { createUnusedPool } from "./createUnusedPool.ts";
import { listInstances } from "./listInstances.ts";

const FEED_MARGIN_MS = 800;
const CONFIGURATION_WAIT_MS = 4_000;
const REPORT_INTERVAL_MS = 1_000;

/** The part of a VM that follows the tables of a store. */
export class StoreFollower {
    readonly directory = ServiceDirectory.create(createUnusedPool);
    readonly counters = Counters.create();
    /** Names of the registered VMs. */
    members: readonly string[] = [];
    private readonly abortController = new AbortController();
    private readonly feeds: DirectoryFeeds;

    private constructor(private readonly store: StoreClient, logger: ProcessLogger) {
        this.feeds = DirectoryFeeds.create({
            reader: store,
            store,
            directory: this.directory,
            logger,
            counters: this.counters,
            signal: this.abortController.signal,
            feedWaitMs: CONFIGURATION_WAIT_MS,
            reportIntervalMs: REPORT_INTERVAL_MS,
            nowMs: () => performance.now(),
            onUnexpectedError: error => {
                throw error;
            },
            onFeedFailed: () => store.abortCalls(),
            onMembersChanged: ({ members }) => {
                this.members = [...members.keys()];
            },
            onEraRead: () => {},
            onAuthorityChanged: () => {},
        });
    }

    /** @param address "host:port" of the store */
    static start(address: string, logger: ProcessLogger): StoreFollower {
        const follower = new StoreFollower(StoreClient.create(address, FEED_MARGIN_MS), logger);
        follower.feeds.start();
        return follower;
    }

    /** Instances that are known, as "id" or "id draining", in order. */
    get instances(): readonly string[] {
        return listInstances(this.directory);
    }

    /** @param nowMs monotonic time in milliseconds */
    tick(nowMs: number): void {
        this.feeds.tick(nowMs);
    }

    stop(): void {
        this.abortController.abort();
        this.store.abortCalls();
    }
}
