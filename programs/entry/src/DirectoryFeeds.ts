import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { followTable } from "@pomeloturn/follow-table/followTable";
import type { Counters } from "@pomeloturn/logger/Counters";
import { decodeInstance } from "@pomeloturn/platform/decodeInstance";
import { decodeRoutes } from "@pomeloturn/platform/decodeRoutes";
import { CONFIGURATION_KEY, COORDINATION_TABLE, INSTANCE_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import type { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { isRestoredSince } from "@pomeloturn/store-point/isRestoredSince";
import type { InstanceEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";
import type { StorePoint, StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { CoordinationTable, type CoordinationTableOptions } from "./CoordinationTable.ts";

/** Delay after changes, so that changes in quick succession are read by one call: each call to the store costs. */
const CONFIGURATION_BATCH_DELAY_MS = 200;
const INSTANCE_BATCH_DELAY_MS = 400;
const COORDINATION_BATCH_DELAY_MS = 400;

/** Shortest time between two failures after which all calls are aborted. */
const ABORT_INTERVAL_MS = 1_000;

/** Delay before the listing of a restored store is read again when it could not be read, or when more instances are due. */
const SETTLING_RETRY_DELAY_MS = 1_000;

/** Reports that an instance may miss before it counts as gone. */
const MISSED_REPORT_LIMIT = 3;
const REPORT_DELAY_MS = 1_000;

const LOGGED_KEY_LENGTH = 60;

/** Time in which VMs that start at the same moment register, so that each finds most of the others. */
const REGISTRATION_DELAY_MS = 700;
/** Time after which the other tables are followed although the VMs' own table could not be read. */
const COORDINATION_TIMEOUT_MS = 1_000;

/** Dependencies and callbacks of `DirectoryFeeds`. */
export interface DirectoryFeedsOptions extends CoordinationTableOptions {
    readonly reader: TableReader;
    readonly directory: ServiceDirectory;
    readonly counters: Counters;
    readonly signal: AbortSignal;
    /** Time between two reports of an instance. */
    readonly reportIntervalMs: number;
    /** Called after a newer configuration has become active. */
    readonly onRoutesApplied?: (table: RouteTable) => void;
    /** Called with errors that were thrown while rows were applied. */
    readonly onUnexpectedError: (error: Error) => void;
    /** Called when a feed fails. Aborts the calls that are in progress, because their connections may be dead too. */
    readonly onFeedFailed: () => void;
}

/** Follows the store's tables and applies their changes to the directory. */
export class DirectoryFeeds {
    /** Era of the last full read of the instances. */
    private listingEra = 0;
    private nextSettlingAtMs = -Infinity;
    private abortedAtMs = -Infinity;
    /** Instances in use whose row another writer has overwritten, and the monotonic time until which they have to write it again. */
    private readonly overwrittenUntilMs = new Map<string, number>();
    private readonly coordination: CoordinationTable;

    private constructor(private readonly options: DirectoryFeedsOptions) {
        this.coordination = CoordinationTable.create(options);
    }

    static create(options: DirectoryFeedsOptions): DirectoryFeeds {
        return new DirectoryFeeds(options);
    }

    /** Starts with the VMs' own table. The other tables follow once it is known which VM relays them, or after a short time. */
    startInTurn(): void {
        let hasStarted = false;
        const startOthers = (): void => {
            if (!hasStarted) {
                hasStarted = true;
                this.followOthers();
            }
        };
        setTimeout(() => {
            this.followCoordination(startOthers);
            setTimeout(startOthers, COORDINATION_TIMEOUT_MS);
        }, REGISTRATION_DELAY_MS);
    }

    /** Starts to follow all tables. */
    start(): void {
        this.followOthers();
        this.followCoordination(() => undefined);
    }

    /** Reads tables of a restored store again when the time is over in which instances have reported, and VMs registered, to it. */
    tick(nowMs: number): void {
        this.coordination.tick(nowMs);
        this.removeOverwritten(nowMs);
        if (nowMs >= this.nextSettlingAtMs && this.options.directory.isSettlingDue(nowMs)) {
            this.nextSettlingAtMs = nowMs + SETTLING_RETRY_DELAY_MS;
            void this.settleInstances(nowMs);
        }
    }

    private async settleInstances(nowMs: number): Promise<void> {
        const { store, directory, logger } = this.options;
        try {
            const { rows, ...point } = await store.readTable(INSTANCE_TABLE);
            if (point.era === this.listingEra) {
                const ids = directory.settleEntries(this.decodeListing(rows, point), nowMs);
                logger.info("the restored store is believed about instances that have not reported to it again", { ids });
            }
        }
        catch (error) {
            logger.info("the listing of the restored store cannot be read; what is known of the instances stays in use", {
                reason: (error as Error).message,
            });
        }
    }

    private followCoordination(onRead: () => void): void {
        const replace = (rows: readonly StoreRow[], point: StorePoint, last: StorePoint | undefined): void => {
            this.coordination.replaceRows(rows, point, last);
            onRead();
        };
        const { feedWaitMs } = this.options;
        this.follow(
            COORDINATION_TABLE,
            feedWaitMs,
            COORDINATION_BATCH_DELAY_MS,
            replace,
            (rows, point) => this.coordination.applyChanges(rows, point),
        );
    }

    private followOthers(): void {
        const applyConfiguration = (rows: readonly StoreRow[]): void => this.applyConfiguration(rows);
        const { feedWaitMs } = this.options;
        this.follow(OPERATOR_TABLE, feedWaitMs, CONFIGURATION_BATCH_DELAY_MS, applyConfiguration, applyConfiguration);
        this.follow(
            INSTANCE_TABLE,
            feedWaitMs,
            INSTANCE_BATCH_DELAY_MS,
            (rows, point, last) => this.replaceInstances(rows, point, last),
            (rows, point) => this.applyInstanceChanges(rows, point),
        );
    }

    private follow(
        table: string,
        waitMs: number,
        batchDelayMs: number,
        onSnapshot: (rows: readonly StoreRow[], point: StorePoint, last: StorePoint | undefined) => void,
        onChanges: (rows: readonly StoreRow[], point: StorePoint) => void,
    ): void {
        const { reader, logger, counters, signal, nowMs, onUnexpectedError } = this.options;
        const onReachabilityChange = (isReachable: boolean, reason: string): void => {
            counters.add(isReachable ? "store_regained" : "store_lost");
            if (!isReachable) {
                this.recordFailure();
            }
            logger.info(isReachable ? "a table of the store can be read again" : "a table of the store cannot be read; the proxy retries", {
                table,
                reason,
            });
        };
        const onRead = (rows: readonly StoreRow[], point: StorePoint, last: StorePoint | undefined): void => {
            this.reportFullRead(table, rows.length, point, last);
            onSnapshot(rows, point, last);
        };
        void followTable(reader, {
            table,
            waitMs,
            batchDelayMs,
            nowMs,
            signal,
            onSnapshot: onRead,
            onChanges,
            onReachabilityChange,
            onUnexpectedError,
        });
    }

    /** The calls that are aborted fail too; they do not count. */
    private recordFailure(): void {
        const { nowMs, onFeedFailed } = this.options;
        if (nowMs() - this.abortedAtMs >= ABORT_INTERVAL_MS) {
            this.abortedAtMs = nowMs();
            onFeedFailed();
        }
    }

    /** @param last point up to which the table was known; undefined at the start of the process */
    private reportFullRead(table: string, rowCount: number, { era, version }: StorePoint, last: StorePoint | undefined): void {
        const { logger, counters } = this.options;
        logger.info("a table of the store was read in full", {
            table,
            rows: rowCount,
            era,
            version,
            lastEra: last?.era,
            lastVersion: last?.version,
        });
        if (last !== undefined) {
            counters.add(era === last.era ? "store_history_lost" : "store_restored");
        }
    }

    private applyConfiguration(rows: readonly StoreRow[]): void {
        const { directory, logger } = this.options;
        // A feed response contains each change of the row, the newest last.
        const row = rows.findLast(({ key, isDeleted }) => key === CONFIGURATION_KEY && !isDeleted);
        const table = row === undefined ? undefined : this.decodeConfiguration(row);
        if (table !== undefined && directory.applyRoutes(table)) {
            logger.info("a new configuration is active", {
                version: table.version,
                routes: table.routes.size,
                teams: table.teams?.teams.size,
            });
            this.options.onRoutesApplied?.(table);
        }
    }

    /** @returns undefined if the row cannot be decoded; the previous configuration then stays active */
    private decodeConfiguration(row: StoreRow): RouteTable | undefined {
        try {
            return decodeRoutes(row.value);
        }
        catch (error) {
            const { message } = PomeloturnError.create(
                ResultCode.ConfigurationInvalid,
                `the configuration row of store version ${row.version} cannot be decoded`,
                error as Error,
            );
            this.options.logger.error("the new configuration is not valid; the previous one stays active", { reason: message });
            return undefined;
        }
    }

    /** @returns the last entry of a known instance while its row is not valid and it may still write the row again */
    private decodeEntry(row: StoreRow, { era }: StorePoint): InstanceEntry | undefined {
        const entry = row.isDeleted ? undefined : decodeInstance(row, era);
        if (entry !== undefined || row.isDeleted) {
            this.overwrittenUntilMs.delete(row.key);
            return entry;
        }
        const { directory, logger, reportIntervalMs, nowMs } = this.options;
        const known = directory.findEntry(row.key);
        if (known !== undefined && !this.overwrittenUntilMs.has(row.key)) {
            this.overwrittenUntilMs.set(row.key, nowMs() + MISSED_REPORT_LIMIT * reportIntervalMs + REPORT_DELAY_MS);
        }
        logger.warn("the entry of an instance is not valid and is not used", {
            id: row.key.slice(0, LOGGED_KEY_LENGTH),
            version: row.version,
            isKnown: known !== undefined,
        });
        return known;
    }

    /** Removes instances that have not written their row again after another writer has overwritten it. */
    private removeOverwritten(nowMs: number): void {
        for (const [id, untilMs] of this.overwrittenUntilMs) {
            if (nowMs >= untilMs) {
                this.overwrittenUntilMs.delete(id);
                this.options.directory.removeInstance(id);
                this.options.logger.info("an instance was removed because it has not written its overwritten entry again", { id });
            }
        }
    }

    private replaceInstances(rows: readonly StoreRow[], point: StorePoint, last: StorePoint | undefined): void {
        const { directory, reportIntervalMs, nowMs } = this.options;
        const listing = this.decodeListing(rows, point);
        const isFirst = isRestoredSince(last, point);
        this.listingEra = point.era;
        if (isFirst || directory.isUnsettled) {
            directory.mergeEntries(listing, { isFirst, reportIntervalMs }, nowMs());
        }
        else {
            directory.replaceEntries(listing);
        }
    }

    private decodeListing(rows: readonly StoreRow[], point: StorePoint): InstanceEntry[] {
        return rows.map(row => this.decodeEntry(row, point)).filter(entry => entry !== undefined);
    }

    private applyInstanceChanges(rows: readonly StoreRow[], point: StorePoint): void {
        const { directory, logger } = this.options;
        for (const row of rows) {
            const entry = this.decodeEntry(row, point);
            if (entry === undefined && !row.isDeleted) {
                continue;
            }
            if (entry === undefined) {
                directory.removeInstance(row.key);
                logger.info("an instance was removed because it is no longer listed", { id: row.key.slice(0, LOGGED_KEY_LENGTH) });
            }
            else {
                directory.applyEntry(entry);
                logger.info("an instance was added or updated", {
                    id: entry.id,
                    service: entry.service,
                    draining: entry.isDraining,
                    primary: entry.isPrimary,
                });
            }
        }
    }
}
