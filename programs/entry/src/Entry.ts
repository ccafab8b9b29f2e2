import { SuspensionDetector } from "@pomeloturn/clock/SuspensionDetector";
import { InstanceConnection } from "@pomeloturn/instance-connection/InstanceConnection";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { standardOutput } from "@pomeloturn/logger/standardOutput";
import { lineCallerProtocol, lineInstanceProtocol } from "@pomeloturn/platform/lineProtocol";
import { PlatformAuthority } from "@pomeloturn/platform/PlatformAuthority";
import { PlatformPromoter } from "@pomeloturn/platform/PlatformPromoter";
import { type PlatformSettings, splitAddress } from "@pomeloturn/platform/PlatformSettings";
import { ReadinessServer } from "@pomeloturn/platform/ReadinessServer";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { memberKey, OWN_TABLE } from "@pomeloturn/platform/tables";
import { clearSamples } from "@pomeloturn/position-samples/PositionSamples";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { start } from "nact";
import { CallerListener } from "./CallerListener.ts";
import { DirectoryFeeds } from "./DirectoryFeeds.ts";
import { EntryDrain } from "./EntryDrain.ts";
import { EntryMetrics } from "./EntryMetrics.ts";
import { MetricsServer } from "./MetricsServer.ts";
import { Replacements } from "./Replacements.ts";
import { StatementLog } from "./StatementLog.ts";

const TICK_MS = 200;
/** Interval of ticks while a primary is in doubt. */
const ACTIVE_TICK_MS = 40;
const REGISTER_PAUSE_MS = 1_000;
/** Part of the contact bound that is left for the calls after a silent connection was noticed. */
const SILENCE_MARGIN_MS = 1_000;

/** The proxy of one VM. */
export class Entry {
    private readonly stopping = new AbortController();
    private readonly detector = SuspensionDetector.create(differenceMs => this.forgetAges(differenceMs));
    private readonly directory = ServiceDirectory.create(entry => this.createPool(entry));
    private readonly metrics = EntryMetrics.create();
    private readonly store: StoreClient;
    private readonly replacements: Replacements;
    private readonly ports: RunnerPorts;
    private listener: CallerListener | undefined;
    private isDraining = false;

    private constructor(private settings: PlatformSettings, private readonly logger: ProcessLogger) {
        this.store = StoreClient.create(settings.storeAddress);
        this.ports = this.createPorts();
        this.replacements = Replacements.create({
            system: start(),
            vm: settings.vm,
            authorities: PlatformAuthority.create(this.store),
            promoter: PlatformPromoter.create(
                settings.ordersAddress,
                error => logger.warn("no answer to an order", { reason: error.message }),
            ),
            protocol: lineInstanceProtocol,
            nowMs: this.ports.nowMs,
            openConnection: ({ entry }) => this.connect(entry, () => {}),
            log: (text, details) => logger.info(text, details),
        });
    }

    static create(settings: PlatformSettings, logger: ProcessLogger): Entry {
        return new Entry(settings, logger);
    }

    /** Begins to listen, and follows the store's tables. */
    start(): void {
        const { settings, logger, directory, replacements } = this;
        DirectoryFeeds.create({
            reader: this.store,
            directory,
            logger,
            counters: this.metrics.counters,
            signal: this.stopping.signal,
            configurationWaitMs: settings.contactMs - SILENCE_MARGIN_MS,
            onSilent: () => this.store.reconnect(),
            onMembers: members => {
                directory.setVmCount(Math.max(1, members.size));
                replacements.setMembers(members);
            },
            onAuthority: (service, authority) => replacements.setAuthority(service, authority),
        }).start();
        void this.register();
        const { host, port } = splitAddress(settings.callerAddress);
        this.listener = CallerListener.create(host, port, lineCallerProtocol, this.ports);
        ReadinessServer.create(settings.readinessAddress, () => !this.isDraining && directory.isServing);
        MetricsServer.create(splitAddress(settings.metricsAddress), this.metrics);
        this.tick();
        logger.info("started", { vm: settings.vm });
    }

    /** Takes settings that have changed; addresses and names hold until the next start. */
    reload(settings: PlatformSettings): void {
        const names = Object.keys(settings) as (keyof PlatformSettings)[];
        const changed = names.filter(name => JSON.stringify(settings[name]) !== JSON.stringify(this.settings[name]));
        this.settings = settings;
        this.logger.info("settings reloaded", { changed });
    }

    /** Ends the process without breaking anything off. */
    drain(onDone: () => void): void {
        if (this.isDraining) {
            return;
        }
        this.isDraining = true;
        this.logger.info("shutting down", { sessions: this.listener?.sessions.size });
        const finish = (): void => {
            this.stopping.abort();
            this.logger.info("stopped", { sessions: this.listener?.sessions.size });
            onDone();
        };
        const sessions = this.listener?.sessions ?? new Set();
        const stopAccepting = (): void => this.listener?.stopAccepting();
        EntryDrain.create({ sessions, stopAccepting, nowMs: this.ports.nowMs, onDone: finish }, this.settings.shutdownGraceMs);
        void this.store.deleteRow(OWN_TABLE, memberKey(this.settings.vm)).catch((error: Error) => {
            this.logger.warn("still registered", { reason: error.message });
        });
    }

    private createPorts(): RunnerPorts {
        const statements = StatementLog.create(this.logger, this.metrics);
        return {
            directory: this.directory,
            nowMs: () => performance.now(),
            random: Math.random,
            detectSuspensions: () => this.detector.check(performance.now(), Date.now()),
            distanceTo: failureDomain => this.distanceTo(failureDomain),
            onInstanceSuspected: (service, instanceId, evidence) => {
                this.metrics.counters.add(`suspected_${evidence}`);
                this.replacements.suspect(service, instanceId);
            },
            onStatement: record => statements.record(record, performance.now()),
            onUnexpectedError: error => {
                this.metrics.counters.add("faults");
                this.logger.error("a statement failed inside the proxy", { reason: error.stack ?? error.message });
            },
        };
    }

    private tick(): void {
        this.ports.detectSuspensions();
        this.countDroppedLines();
        this.directory.tick();
        const isActive = this.replacements.tick(this.directory.services.values());
        setTimeout(() => this.tick(), isActive ? ACTIVE_TICK_MS : TICK_MS);
    }

    /** Lines for which the reader of the logs was too slow. */
    private countDroppedLines(): void {
        const count = standardOutput().takeDroppedCount();
        if (count > 0) {
            this.metrics.counters.add("log_lines_dropped", count);
            this.logger.warn("log lines dropped, their reader is too slow", { count });
        }
    }

    private async register(): Promise<void> {
        const value = Buffer.from(JSON.stringify({ failureDomain: this.settings.failureDomain })).toString("base64");
        try {
            await this.store.writeRow(OWN_TABLE, { key: memberKey(this.settings.vm), expectedVersion: undefined, value });
        }
        catch (error) {
            this.logger.warn("not registered", { reason: (error as Error).message });
            setTimeout(() => void this.register(), REGISTER_PAUSE_MS);
        }
    }

    private connect(entry: InstanceEntry, onClosed: (reason: string, isRemote: boolean) => void): InstanceConnection {
        const { host, port, service, id: instanceId } = entry;
        const target = { host, port, service, instanceId, caller: this.settings.vm };
        return InstanceConnection.create(target, lineInstanceProtocol, onClosed);
    }

    private createPool(entry: InstanceEntry): InstancePool {
        const suspect = (): void => this.replacements.suspect(entry.service, entry.id);
        return InstancePool.create({
            nowMs: this.ports.nowMs,
            open: onClosed => this.connect(entry, onClosed),
            onOpenFailed: suspect,
            onLost: suspect,
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
        this.logger.warn("suspended, or the time of day was changed", { differenceMs: Math.round(differenceMs) });
        for (const { samples } of this.directory.services.values()) {
            clearSamples(samples);
        }
    }
}
