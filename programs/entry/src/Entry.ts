import { SuspensionDetector } from "@pomeloturn/clock/SuspensionDetector";
import { followTable } from "@pomeloturn/follow-table/followTable";
import { InstanceConnection } from "@pomeloturn/instance-connection/InstanceConnection";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { decodeInstance } from "@pomeloturn/platform/decodeInstance";
import { decodeRoutes } from "@pomeloturn/platform/decodeRoutes";
import { lineCallerProtocol, lineInstanceProtocol } from "@pomeloturn/platform/lineProtocol";
import { type PlatformSettings, splitAddress } from "@pomeloturn/platform/PlatformSettings";
import { ReadinessServer } from "@pomeloturn/platform/ReadinessServer";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { CONFIGURATION_KEY, INSTANCE_TABLE, MEMBER_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import { clearSamples } from "@pomeloturn/position-samples/PositionSamples";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import type { StoreRow } from "@pomeloturn/types/StoreRow";
import { CallerListener } from "./CallerListener.ts";

const TICK_MS = 200;
/** Waits of the feeds: the configuration's bounds how long a silent connection may go unnoticed. */
const CONFIGURATION_WAIT_MS = 5_000;
const LISTING_WAIT_MS = 15_000;
const CONFIGURATION_SETTLE_MS = 200;
const LISTING_SETTLE_MS = 20;

/** The proxy of one VM. */
export class Entry {
    private readonly stopping = new AbortController();
    private readonly detector = SuspensionDetector.create(differenceMs => this.forgetAges(differenceMs));
    private readonly directory = ServiceDirectory.create(entry => this.createPool(entry));
    private readonly store: StoreClient;
    private readonly members = new Set<string>();
    private readonly ports: RunnerPorts;
    private isDraining = false;

    private constructor(private readonly settings: PlatformSettings, private readonly logger: ProcessLogger) {
        this.store = StoreClient.create(settings.storeAddress);
        this.ports = {
            directory: this.directory,
            nowMs: () => performance.now(),
            checkSuspended: () => this.detector.check(performance.now(), Date.now()),
            distanceTo: failureDomain => this.distanceTo(failureDomain),
            onSuspect: () => {},
            onStatement: () => {},
        };
    }

    static create(settings: PlatformSettings, logger: ProcessLogger): Entry {
        return new Entry(settings, logger);
    }

    start(): void {
        this.follow(
            OPERATOR_TABLE,
            CONFIGURATION_WAIT_MS,
            CONFIGURATION_SETTLE_MS,
            rows => this.applyConfiguration(rows),
            rows => this.applyConfiguration(rows),
        );
        this.follow(
            INSTANCE_TABLE,
            LISTING_WAIT_MS,
            LISTING_SETTLE_MS,
            rows => this.replaceInstances(rows),
            rows => this.changeInstances(rows),
        );
        this.follow(MEMBER_TABLE, LISTING_WAIT_MS, LISTING_SETTLE_MS, rows => this.applyMembers(rows), rows => this.applyMembers(rows));
        void this.register();
        const { host, port } = splitAddress(this.settings.callerAddress);
        CallerListener.create(host, port, lineCallerProtocol, this.ports);
        ReadinessServer.create(this.settings.readinessAddress, () => !this.isDraining && this.directory.isServing);
        setInterval(() => this.directory.tick(), TICK_MS);
        this.logger.info("started", { vm: this.settings.vm });
    }

    private follow(
        table: string,
        waitMs: number,
        settleMs: number,
        onAll: (rows: readonly StoreRow[]) => void,
        onChanged: (rows: readonly StoreRow[]) => void,
    ): void {
        const onReachable = (isReachable: boolean, reason: string): void => {
            this.logger.info(isReachable ? "store reachable" : "store unreachable", { table, reason });
        };
        void followTable(this.store, { table, waitMs, settleMs, signal: this.stopping.signal, onAll, onChanged, onReachable });
    }

    private applyConfiguration(rows: readonly StoreRow[]): void {
        const row = rows.find(({ key, isDeleted }) => key === CONFIGURATION_KEY && !isDeleted);
        if (row !== undefined && this.directory.adoptRoutes(decodeRoutes(row.value))) {
            this.logger.info("configuration in force", { version: this.directory.routes?.version });
        }
    }

    private decode(row: StoreRow): InstanceEntry | undefined {
        const entry = row.isDeleted ? undefined : decodeInstance(row);
        if (entry === undefined && !row.isDeleted) {
            this.logger.warn("instance entry not usable", { id: row.key });
        }
        return entry;
    }

    private replaceInstances(rows: readonly StoreRow[]): void {
        this.directory.replaceEntries(rows.map(row => this.decode(row)).filter(entry => entry !== undefined));
    }

    private changeInstances(rows: readonly StoreRow[]): void {
        for (const row of rows) {
            const entry = this.decode(row);
            if (entry === undefined) {
                this.directory.removeInstance(row.key);
            }
            else {
                this.directory.applyEntry(entry);
            }
        }
    }

    private applyMembers(rows: readonly StoreRow[]): void {
        for (const { key, isDeleted } of rows) {
            if (isDeleted) {
                this.members.delete(key);
            }
            else {
                this.members.add(key);
            }
        }
        this.directory.setVmCount(Math.max(1, this.members.size));
    }

    private async register(): Promise<void> {
        const value = Buffer.from(JSON.stringify({ failureDomain: this.settings.failureDomain })).toString("base64");
        try {
            await this.store.writeRow(MEMBER_TABLE, { key: this.settings.vm, expectedVersion: undefined, value });
        }
        catch (error) {
            this.logger.warn("not registered", { reason: (error as Error).message });
            setTimeout(() => void this.register(), 1_000);
        }
    }

    private createPool(entry: InstanceEntry): InstancePool {
        const { host, port, service, id: instanceId } = entry;
        const target = { host, port, service, instanceId, caller: this.settings.vm };
        return InstancePool.create({
            nowMs: this.ports.nowMs,
            open: onClosed => InstanceConnection.create(target, lineInstanceProtocol, onClosed),
            onOpenFailed: () => {},
            onOpened: () => {},
        });
    }

    private distanceTo(failureDomain: string): Distance {
        const { failureDomain: own, regions } = this.settings;
        if (failureDomain === own) {
            return Distance.SameDomain;
        }
        return regions[failureDomain] === regions[own] ? Distance.SameRegion : Distance.OtherRegion;
    }

    /** The ages of samples are not known any more. */
    private forgetAges(differenceMs: number): void {
        this.logger.warn("suspended, or the time of day was changed", { differenceMs });
        for (const { samples } of this.directory.services.values()) {
            clearSamples(samples);
        }
    }
}
