import { followTable } from "@pomeloturn/follow-table/followTable";
import type { Counters } from "@pomeloturn/logger/Counters";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { decodeInstance } from "@pomeloturn/platform/decodeInstance";
import { decodeRoutes } from "@pomeloturn/platform/decodeRoutes";
import { AUTHORITY_TABLE, decodeAuthority } from "@pomeloturn/platform/PlatformAuthority";
import { CONFIGURATION_KEY, INSTANCE_TABLE, MEMBER_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import type { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { Authority } from "@pomeloturn/types/Protocols";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import type { StoreRow, TableReader } from "@pomeloturn/types/StoreRow";

/** Wait of the configuration's feed: it bounds how long a connection that has gone silent stays unnoticed. */
const CONFIGURATION_WAIT_MS = 4_000;
const LISTING_WAIT_MS = 15_000;
/** Configurations in quick succession are read together. */
const CONFIGURATION_SETTLE_MS = 200;
const LISTING_SETTLE_MS = 20;

/** What the feeds work with. */
export interface FeedOptions {
    readonly reader: TableReader;
    readonly directory: ServiceDirectory;
    readonly logger: ProcessLogger;
    readonly counters: Counters;
    readonly signal: AbortSignal;
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
        const applyAuthorities = (rows: readonly StoreRow[]): void => this.applyAuthorities(rows);
        this.follow(OPERATOR_TABLE, CONFIGURATION_WAIT_MS, CONFIGURATION_SETTLE_MS, applyConfiguration, applyConfiguration);
        this.follow(
            INSTANCE_TABLE,
            LISTING_WAIT_MS,
            LISTING_SETTLE_MS,
            rows => this.replaceInstances(rows),
            rows => this.changeInstances(rows),
        );
        this.follow(MEMBER_TABLE, LISTING_WAIT_MS, LISTING_SETTLE_MS, rows => this.replaceMembers(rows), rows => this.changeMembers(rows));
        this.follow(AUTHORITY_TABLE, LISTING_WAIT_MS, LISTING_SETTLE_MS, applyAuthorities, applyAuthorities);
    }

    private follow(
        table: string,
        waitMs: number,
        settleMs: number,
        onAll: (rows: readonly StoreRow[]) => void,
        onChanged: (rows: readonly StoreRow[]) => void,
    ): void {
        const { reader, logger, counters, signal } = this.options;
        const onReachable = (isReachable: boolean, reason: string): void => {
            counters.add(isReachable ? "store_regained" : "store_lost");
            logger.info(isReachable ? "store reachable" : "store unreachable", { table, reason });
        };
        void followTable(reader, { table, waitMs, settleMs, signal, onAll, onChanged, onReachable });
    }

    private applyConfiguration(rows: readonly StoreRow[]): void {
        const { directory, logger } = this.options;
        // A feed states each change of the row, the newest last.
        const row = rows.findLast(({ key, isDeleted }) => key === CONFIGURATION_KEY && !isDeleted);
        if (row !== undefined && directory.adoptRoutes(decodeRoutes(row.value))) {
            logger.info("configuration in force", { version: directory.routes?.version, routes: directory.routes?.routes.size });
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

    private replaceMembers(rows: readonly StoreRow[]): void {
        this.members.clear();
        this.changeMembers(rows);
    }

    private changeMembers(rows: readonly StoreRow[]): void {
        for (const { key, isDeleted } of rows) {
            if (isDeleted) {
                this.members.delete(key);
            }
            else {
                this.members.add(key);
            }
        }
        this.options.onMembers(this.members);
    }

    private applyAuthorities(rows: readonly StoreRow[]): void {
        for (const row of rows) {
            this.options.onAuthority(row.key, decodeAuthority(row));
        }
    }
}
