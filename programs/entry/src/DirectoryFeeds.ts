import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { followTable } from "@pomeloturn/follow-table/followTable";
import type { Counters } from "@pomeloturn/logger/Counters";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { decodeInstance } from "@pomeloturn/platform/decodeInstance";
import { decodeRoutes } from "@pomeloturn/platform/decodeRoutes";
import { decodeAuthority } from "@pomeloturn/platform/PlatformAuthority";
import { CONFIGURATION_KEY, INSTANCE_TABLE, OPERATOR_TABLE, OWN_TABLE, readAuthorityKey, readMemberKey } from "@pomeloturn/platform/tables";
import type { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { Authority } from "@pomeloturn/types/Protocols";
import type { InstanceEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";
import type { StoreRow, TableReader } from "@pomeloturn/types/StoreRow";

/** Wait of the listings' feeds. Connections that have gone silent are noticed by the configuration's. */
const LISTING_WAIT_MS = 28_000;
/** Changes in quick succession are read together, as each call has its price. */
const CONFIGURATION_SETTLE_MS = 200;
const INSTANCE_SETTLE_MS = 400;
const OWN_SETTLE_MS = 400;

/** What the feeds work with. */
export interface FeedOptions {
    readonly reader: TableReader;
    readonly directory: ServiceDirectory;
    readonly logger: ProcessLogger;
    readonly counters: Counters;
    readonly signal: AbortSignal;
    /** Wait of the configuration's feed: it bounds how long a connection that has gone silent stays unnoticed. */
    readonly configurationWaitMs: number;
    /** Ends the calls that are under way, as their connections may have gone silent too. */
    readonly onSilent: () => void;
    readonly onMembers: (members: ReadonlySet<string>) => void;
    readonly onAuthority: (service: string, authority: Authority) => void;
}

/** Keeps the directory up to date from the store's tables. */
export class DirectoryFeeds {
    private readonly members = new Set<string>();

    private constructor(private readonly options: FeedOptions) {}

    static create(options: FeedOptions): DirectoryFeeds {
        return new DirectoryFeeds(options);
    }

    start(): void {
        const applyConfiguration = (rows: readonly StoreRow[]): void => this.applyConfiguration(rows);
        const { configurationWaitMs } = this.options;
        this.follow(OPERATOR_TABLE, configurationWaitMs, CONFIGURATION_SETTLE_MS, applyConfiguration, applyConfiguration);
        this.follow(
            INSTANCE_TABLE,
            LISTING_WAIT_MS,
            INSTANCE_SETTLE_MS,
            rows => this.replaceInstances(rows),
            rows => this.changeInstances(rows),
        );
        this.follow(OWN_TABLE, LISTING_WAIT_MS, OWN_SETTLE_MS, rows => this.replaceOwn(rows), rows => this.changeOwn(rows));
    }

    private follow(
        table: string,
        waitMs: number,
        batchDelayMs: number,
        onSnapshot: (rows: readonly StoreRow[]) => void,
        onChanges: (rows: readonly StoreRow[]) => void,
    ): void {
        const { reader, logger, counters, signal, onSilent } = this.options;
        const onReachabilityChange = (isReachable: boolean, reason: string): void => {
            counters.add(isReachable ? "store_regained" : "store_lost");
            if (!isReachable && table === OPERATOR_TABLE) {
                onSilent();
            }
            logger.info(isReachable ? "store reachable" : "store unreachable", { table, reason });
        };
        void followTable(reader, { table, waitMs, batchDelayMs, signal, onSnapshot, onChanges, onReachabilityChange });
    }

    private applyConfiguration(rows: readonly StoreRow[]): void {
        const { directory, logger } = this.options;
        // A feed states each change of the row, the newest last.
        const row = rows.findLast(({ key, isDeleted }) => key === CONFIGURATION_KEY && !isDeleted);
        const table = row === undefined ? undefined : this.readRoutes(row);
        if (table !== undefined && directory.applyRoutes(table)) {
            logger.info("configuration in force", { version: table.version, routes: table.routes.size });
        }
    }

    /** A configuration that cannot be read leaves the one before in force. */
    private readRoutes(row: StoreRow): RouteTable | undefined {
        try {
            return decodeRoutes(row.value);
        }
        catch (error) {
            const { message } = PomeloturnError.create(ResultCode.ConfigurationInvalid, `revision ${row.version}`, error as Error);
            this.options.logger.error("configuration not readable", { reason: message });
            return undefined;
        }
    }

    private decode(row: StoreRow): InstanceEntry | undefined {
        const entry = row.isDeleted ? undefined : decodeInstance(row);
        if (entry === undefined && !row.isDeleted) {
            this.options.logger.warn("instance entry not usable", { id: row.key, revision: row.version });
        }
        return entry;
    }

    private replaceInstances(rows: readonly StoreRow[]): void {
        this.options.directory.replaceEntries(rows.map(row => this.decode(row)).filter(entry => entry !== undefined));
    }

    private changeInstances(rows: readonly StoreRow[]): void {
        const { directory, logger } = this.options;
        for (const row of rows) {
            const entry = this.decode(row);
            if (entry === undefined) {
                directory.removeInstance(row.key);
                logger.info("instance gone", { id: row.key });
            }
            else {
                directory.applyEntry(entry);
                logger.info("instance listed", {
                    id: entry.id,
                    service: entry.service,
                    draining: entry.isDraining,
                    primary: entry.isPrimary,
                });
            }
        }
    }

    private replaceOwn(rows: readonly StoreRow[]): void {
        this.members.clear();
        this.changeOwn(rows);
    }

    private changeOwn(rows: readonly StoreRow[]): void {
        const { onMembers, onAuthority } = this.options;
        for (const row of rows) {
            const service = readAuthorityKey(row.key);
            if (service !== undefined) {
                onAuthority(service, decodeAuthority(row));
            }
            this.changeMember(readMemberKey(row.key), row.isDeleted);
        }
        onMembers(this.members);
    }

    private changeMember(vm: string | undefined, isDeleted: boolean): void {
        if (vm !== undefined && isDeleted) {
            this.members.delete(vm);
        }
        else if (vm !== undefined) {
            this.members.add(vm);
        }
    }
}
