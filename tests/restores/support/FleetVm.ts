import { DirectoryFeeds } from "@pomeloturn/entry/DirectoryFeeds";
import { Registration } from "@pomeloturn/entry/Registration";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { Counters } from "@pomeloturn/logger/Counters";
import { createLogger } from "@pomeloturn/logger/createLogger";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { RelayedTableReader } from "@pomeloturn/table-relay/RelayedTableReader";
import { RelayServer } from "@pomeloturn/table-relay/RelayServer";
import type { TableReader } from "@pomeloturn/types/StoreRow";
import { createUnusedPool } from "../../support/createUnusedPool.ts";

const HOST = "127.0.0.1";
const FAILURE_DOMAIN = "north-a";
const CONFIGURATION_WAIT_MS = 1_500;
const RELAYING_WAIT_MS = 500;
const FEED_MARGIN_MS = 800;
const TICK_MS = 100;

export interface FleetVmOptions {
    readonly name: string;
    /** "host:port" */
    readonly storeAddress: string;
    readonly relayPort: number;
    readonly reportIntervalMs: number;
}

/** The parts of a VM that read and write the store: feeds, relay, directory and registration. */
export class FleetVm {
    /** While true, calls to the store get no answer. Relays can be reached. */
    isCutOff = false;
    readonly directory = ServiceDirectory.create(createUnusedPool);
    /** Names of the registered VMs. */
    members: readonly string[] = [];
    private readonly abortController = new AbortController();
    private readonly store: StoreClient;
    private readonly relayServer: RelayServer;
    private readonly registration: Registration;
    private readonly ticks: NodeJS.Timeout;
    private isStopping = false;

    private constructor({ name, storeAddress, relayPort, reportIntervalMs }: FleetVmOptions) {
        const logger = createLogger("test", name);
        const nowMs = (): number => performance.now();
        this.store = StoreClient.create(storeAddress, FEED_MARGIN_MS);
        const reader = this.createReader();
        const tables = RelayedTableReader.create({
            store: reader,
            vm: name,
            failureDomain: FAILURE_DOMAIN,
            storeTimes: () => ({ waitMs: RELAYING_WAIT_MS, marginMs: FEED_MARGIN_MS }),
            relayTimes: { waitMs: 1_000, marginMs: 500 },
            nowMs,
            logger,
        });
        const source = {
            find: (table: string) => this.isStopping ? undefined : tables.find(table),
            isLoading: (table: string) => !this.isStopping && tables.isLoading(table),
            waitForChange: (waitMs: number) => tables.waitForChange(waitMs),
        };
        this.relayServer = RelayServer.create({ host: HOST, port: relayPort }, source, nowMs, logger);
        const identity = { vm: name, failureDomain: FAILURE_DOMAIN, relayAddress: `${HOST}:${relayPort}` };
        this.registration = Registration.create(identity, this.store, logger);
        const feeds = DirectoryFeeds.create({
            reader: tables,
            store: reader,
            directory: this.directory,
            logger,
            counters: Counters.create(),
            signal: this.abortController.signal,
            feedWaitMs: CONFIGURATION_WAIT_MS,
            reportIntervalMs,
            nowMs,
            onUnexpectedError: error => {
                throw error;
            },
            onFeedFailed: () => this.store.abortCalls(),
            onMembersChanged: (listing, point) => {
                this.members = [...listing.members.keys()].sort();
                tables.setMembers(listing.members.values());
                this.registration.applyListing(listing, point);
            },
            onEraRead: () => {},
            onAuthorityChanged: () => {},
        });
        feeds.start();
        this.registration.start();
        this.ticks = setInterval(() => feeds.tick(performance.now()), TICK_MS);
    }

    static start(options: FleetVmOptions): FleetVm {
        return new FleetVm(options);
    }

    /** Version of the active configuration; 0 before the first one. */
    get configurationVersion(): number {
        return this.directory.routes?.version ?? 0;
    }

    /** Begins a graceful shutdown: the VM relays no longer and deletes its registration. */
    shutDown(): void {
        this.isStopping = true;
        this.registration.shutDown();
    }

    /** Ends all work of the VM. */
    stop(): void {
        clearInterval(this.ticks);
        this.isStopping = true;
        this.abortController.abort();
        this.relayServer.close();
        this.store.abortCalls();
    }

    private createReader(): TableReader {
        const whileReachable = async <Answer>(read: () => Promise<Answer>): Promise<Answer> => {
            if (!this.isCutOff) {
                const answer = await read();
                if (!this.isCutOff) {
                    return answer;
                }
            }
            throw PomeloturnError.create(ResultCode.StoreUnavailable, "the VM is cut off from the store");
        };
        return {
            readTable: table => whileReachable(() => this.store.readTable(table)),
            readChanges: (table, after, waitMs) => whileReachable(() => this.store.readChanges(table, after, waitMs)),
        };
    }
}
