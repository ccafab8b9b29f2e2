import { NO_TEAM } from "@pomeloturn/authenticate-caller/identifyCaller";
import { startLoop } from "@pomeloturn/clock/startLoop";
import { SuspensionDetector } from "@pomeloturn/clock/SuspensionDetector";
import { AfterError, createErrorHistory, decideAfterError } from "@pomeloturn/drain/decideAfterError";
import { StatementDecision } from "@pomeloturn/drain/decideStatement";
import { chooseReadTimes, type ReadTimes } from "@pomeloturn/follow-table/chooseReadTimes";
import { InstanceConnection } from "@pomeloturn/instance-connection/InstanceConnection";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import type { OpeningPacing } from "@pomeloturn/instance-pool/OpeningPacing";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { standardOutput } from "@pomeloturn/logger/standardOutput";
import { lineCallerProtocol, lineInstanceProtocol } from "@pomeloturn/platform/lineProtocol";
import { PlatformAuthorityStore } from "@pomeloturn/platform/PlatformAuthorityStore";
import { PlatformPromoter } from "@pomeloturn/platform/PlatformPromoter";
import { type PlatformSettings, splitAddress } from "@pomeloturn/platform/PlatformSettings";
import { ReadinessServer } from "@pomeloturn/platform/ReadinessServer";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { clearSamples } from "@pomeloturn/position-samples/PositionSamples";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { probeInstance } from "@pomeloturn/replacement-runner/inspectInstance";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { chooseRelayTimes } from "@pomeloturn/table-relay/chooseRelayTimes";
import { RelayedTableReader } from "@pomeloturn/table-relay/RelayedTableReader";
import { RelayServer, type RelaySource } from "@pomeloturn/table-relay/RelayServer";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { start } from "nact";
import { CallerListener } from "./CallerListener.ts";
import type { StatementGate } from "./CallerSession.ts";
import { chooseRelayedReadTimes } from "./chooseRelayedReadTimes.ts";
import { createCallerGuard } from "./createCallerGuard.ts";
import { DirectoryFeeds } from "./DirectoryFeeds.ts";
import { EntryDrain } from "./EntryDrain.ts";
import { EntryMetrics } from "./EntryMetrics.ts";
import { MetricsServer } from "./MetricsServer.ts";
import { Registration } from "./Registration.ts";
import { ReplacementActors } from "./ReplacementActors.ts";
import { StatementLog } from "./StatementLog.ts";
import { TeamAllowances } from "./TeamAllowances.ts";

const MS_PER_S = 1_000;

const TICK_MS = 200;
/** Interval of ticks while a primary is suspected, missing or being replaced, or seats of allowances are taken over. */
const ACTIVE_TICK_MS = 40;
/** The proxy process of one VM: wires the listeners, the directory, the store and the replacements of primaries together. */
export class Entry {
    private readonly abortController = new AbortController();
    private readonly suspensionDetector = SuspensionDetector.create(differenceMs => this.discardSamples(differenceMs));
    private readonly directory = ServiceDirectory.create(
        (entry, pacing) => this.createPool(entry, pacing),
        () => this.settings.serverPacing ? this.ports : undefined,
    );
    private readonly metrics = EntryMetrics.create(() => this.directory.listPaces());
    private readonly readTimes: ReadTimes;
    private readonly store: StoreClient;
    private readonly tables: RelayedTableReader;
    private readonly registration: Registration;
    private readonly replacements: ReplacementActors;
    private readonly ports: RunnerPorts;
    private readonly errorHistory = createErrorHistory();
    private readonly allowances: TeamAllowances | undefined;
    private feeds: DirectoryFeeds | undefined;
    private listener: CallerListener | undefined;
    private isDraining = false;
    private entryDrain: EntryDrain | undefined;

    private constructor(private settings: PlatformSettings, private readonly logger: ProcessLogger) {
        this.readTimes = chooseReadTimes(settings.contactMs);
        this.store = StoreClient.create(settings.storeAddress, this.readTimes.marginMs);
        this.registration = Registration.create(settings, this.store, logger);
        this.allowances = TeamAllowances.create(settings, this.metrics.counters, logger);
        this.ports = this.createPorts();
        this.tables = RelayedTableReader.create({
            store: this.store,
            vm: settings.vm,
            failureDomain: settings.failureDomain,
            storeTimes: table => chooseRelayedReadTimes(table, this.readTimes),
            relayTimes: chooseRelayTimes(settings.contactMs),
            nowMs: this.ports.nowMs,
            logger,
        });
        this.replacements = ReplacementActors.create({
            system: start(),
            vm: settings.vm,
            authorities: PlatformAuthorityStore.create(this.store),
            promoter: PlatformPromoter.create(
                settings.ordersAddress,
                error =>
                    logger.warn("the platform did not answer a promotion order; the order may still be executed", {
                        reason: error.message,
                    }),
            ),
            protocol: lineInstanceProtocol,
            nowMs: this.ports.nowMs,
            areFencesChecked: settings.areFencesChecked,
            detectSuspensions: this.ports.detectSuspensions,
            openConnection: ({ entry }) => this.connect(entry, () => {}),
            isMisrouted: id => this.directory.isMisrouted(id),
            isKnown: id => this.directory.findEntry(id) !== undefined,
            syncReplicas: service => this.directory.routes?.services.get(service)?.syncReplicas ?? 0,
            log: (text, details) => logger.info(text, details),
            onUnexpectedError: this.ports.onUnexpectedError,
        });
    }

    static create(settings: PlatformSettings, logger: ProcessLogger): Entry {
        return new Entry(settings, logger);
    }

    /** Starts listening and following the store's tables, and registers this VM in the store. */
    start(): void {
        const { settings, logger, directory, replacements } = this;
        this.feeds = DirectoryFeeds.create({
            reader: this.tables,
            store: this.store,
            directory,
            logger,
            counters: this.metrics.counters,
            signal: this.abortController.signal,
            feedWaitMs: this.readTimes.waitMs,
            reportIntervalMs: settings.reportIntervalMs,
            nowMs: this.ports.nowMs,
            onUnexpectedError: this.ports.onUnexpectedError,
            onFeedFailed: () => this.store.abortCalls(),
            onRoutesApplied: ({ teams }) => {
                this.allowances?.setTeams(teams);
                this.listener?.sessions.forEach(session => session.applyKeyChanges());
            },
            onMembersChanged: (listing, point) => {
                const { members } = listing;
                directory.setVmCount(Math.max(1, members.size));
                replacements.setMembers(members.keys());
                this.tables.setMembers(members.values());
                this.allowances?.setMembers(members.values(), this.settings.regions);
                this.registration.applyListing(listing, point);
            },
            onEraRead: era => replacements.setEra(era),
            onAuthorityChanged: (service, authority) => replacements.setAuthority(service, authority),
        });
        if (settings.isFirstStart) {
            this.feeds.startInTurn();
        }
        else {
            this.feeds.start();
        }
        this.registration.start();
        this.listen();
        startLoop(() => this.tick(), error => this.handleUnexpectedError(error), TICK_MS);
        logger.info("the proxy has started", { vm: settings.vm });
    }

    /** Applies changed settings. Addresses and names take effect at the next start of the process. */
    reload(settings: PlatformSettings): void {
        const names = Object.keys(settings) as (keyof PlatformSettings)[];
        const changed = names.filter(name => JSON.stringify(settings[name]) !== JSON.stringify(this.settings[name]));
        this.settings = settings;
        this.logger.info("the settings were reloaded; changes of addresses and names take effect at the next start", { changed });
    }

    /** Shuts down gracefully: running statements finish within the grace period. @param onDone called when the process can exit */
    drain(onDone: () => void): void {
        if (this.isDraining) {
            return;
        }
        this.isDraining = true;
        const graceMs = this.settings.shutdownGraceS * MS_PER_S;
        this.logger.info(`the proxy is shutting down within ${graceMs} ms`, {
            sessions: this.listener?.sessions.size,
        });
        const finish = (): void => {
            this.abortController.abort();
            this.logger.info("the proxy has shut down", { sessions: this.listener?.sessions.size });
            onDone();
        };
        const sessions = this.listener?.sessions ?? new Set();
        const stopAccepting = (): void => this.listener?.stopAccepting();
        this.entryDrain = EntryDrain.create({ sessions, stopAccepting, nowMs: this.ports.nowMs, onDone: finish }, graceMs);
        this.registration.shutDown();
        this.allowances?.stop();
    }

    /** Starts the servers of this process. */
    private listen(): void {
        const { settings, logger, directory } = this;
        const gate: StatementGate = { decide: statement => this.entryDrain?.decide(statement) ?? StatementDecision.Run };
        const onListenError = (server: string) => (error: Error): void => {
            logger.error("a server of this process does not listen; it tries again", { server, reason: error.message });
        };
        const listener = CallerListener.create(
            splitAddress(settings.callerAddress),
            lineCallerProtocol,
            this.ports,
            gate,
            onListenError("callers"),
            createCallerGuard(settings, this.metrics, logger, this.ports.nowMs),
        );
        this.listener = listener;
        const isReady = (): boolean => !this.isDraining && directory.isServing && listener.isListening;
        ReadinessServer.create(settings.readinessAddress, isReady, onListenError("readiness"));
        RelayServer.create(splitAddress(settings.relayAddress), this.createRelaySource(), this.ports.nowMs, logger);
        MetricsServer.create(splitAddress(settings.metricsAddress), this.metrics, onListenError("metrics"));
    }

    private createPorts(): RunnerPorts {
        const statements = StatementLog.create(this.logger, this.metrics);
        const { allowances } = this;
        return {
            takeAllowance: allowances === undefined ? undefined : team => allowances.take(team),
            directory: this.directory,
            nowMs: () => performance.now(),
            random: Math.random,
            detectSuspensions: () => this.suspensionDetector.check(performance.now(), Date.now()),
            distanceTo: failureDomain => this.distanceTo(failureDomain),
            onInstanceSuspected: (service, instanceId, failure) => {
                this.metrics.counters.add(`suspected_${failure}`);
                this.replacements.suspect(service, instanceId);
            },
            onStartupRefused: code => statements.recordRefusedStartup(code),
            onStatement: record => statements.record(record, performance.now()),
            onUnexpectedError: error => {
                this.metrics.counters.add("faults");
                this.logger.error("an unexpected error occurred inside the proxy", { reason: error.stack ?? error.message });
            },
        };
    }

    /** Source of this VM's relay. Tables that were read before a suspension of the VM are not proved recent. */
    private createRelaySource(): RelaySource {
        return {
            find: table => {
                this.ports.detectSuspensions();
                return this.isDraining ? undefined : this.tables.find(table);
            },
            isLoading: table => !this.isDraining && this.tables.isLoading(table),
            waitForChange: waitMs => this.tables.waitForChange(waitMs),
        };
    }

    /** Handles an error that was thrown outside the handling of any connection. */
    handleUnexpectedError(error: Error): void {
        this.ports.onUnexpectedError(error);
        if (decideAfterError(this.errorHistory, this.ports.nowMs()) === AfterError.Drain) {
            this.logger.error("unexpected errors do not end; the process shuts down to start anew");
            this.drain(() => standardOutput().flush(() => process.exit(1)));
        }
    }

    /** @returns the time until the next tick, in milliseconds */
    private tick(): number {
        this.ports.detectSuspensions();
        this.countDroppedLines();
        this.feeds?.tick(this.ports.nowMs());
        this.directory.tick();
        const isTakingOver = this.allowances?.tick() ?? false;
        this.directory.takeDueChecks(this.ports.nowMs()).forEach(entry => void probeInstance(this.connect(entry, () => {})));
        return this.replacements.tick(this.directory.services.values()) || isTakingOver ? ACTIVE_TICK_MS : TICK_MS;
    }

    /** Counts and reports log lines that were dropped because the reader of standard output was too slow. */
    private countDroppedLines(): void {
        const count = standardOutput().takeDroppedCount();
        if (count > 0) {
            this.metrics.counters.add("log_lines_dropped", count);
            this.logger.warn("log lines were dropped because the reader of standard output is too slow", { count });
        }
    }

    /** @param identity team that the connection is opened for, or `NO_TEAM` */
    private connect(entry: InstanceEntry, onClosed: (reason: string, isRemote: boolean) => void, identity = NO_TEAM): InstanceConnection {
        const { host, port, service, id: instanceId } = entry;
        const target = { host, port, service, instanceId, caller: identity === NO_TEAM ? this.settings.vm : identity };
        const connection = InstanceConnection.create(target, lineInstanceProtocol, onClosed);
        void connection.startupReply.then(({ code }) => this.recordStartup(entry, code));
        return connection;
    }

    private recordStartup(entry: InstanceEntry, code: number): void {
        if (this.directory.recordStartup(entry, code, this.ports.nowMs())) {
            const { id, service, host, port } = entry;
            this.metrics.counters.add("entries_misrouted");
            this.logger.warn("another instance answers at the address of an entry; the entry is not used", { id, service, host, port });
        }
    }

    private createPool(entry: InstanceEntry, pacing: OpeningPacing | undefined): InstancePool {
        const suspect = (): void => this.replacements.suspect(entry.service, entry.id);
        return InstancePool.create({
            nowMs: this.ports.nowMs,
            open: (onClosed, identity) => this.connect(entry, onClosed, identity),
            onOpenFailed: suspect,
            onLost: suspect,
            pacing,
        });
    }

    private distanceTo(failureDomain: string): Distance {
        const { failureDomain: ownFailureDomain, regions } = this.settings;
        if (failureDomain === ownFailureDomain) {
            return Distance.SameDomain;
        }
        return regions[failureDomain] === regions[ownFailureDomain] ? Distance.SameRegion : Distance.OtherRegion;
    }

    /** Discards all position samples: their ages are unknown after a suspension or a change of the system clock. */
    private discardSamples(differenceMs: number): void {
        this.logger.warn("the VM was suspended or its system clock was changed; all position samples are discarded", {
            differenceMs: Math.round(differenceMs),
        });
        this.tables.invalidate();
        for (const { samples } of this.directory.services.values()) {
            clearSamples(samples);
        }
    }
}
