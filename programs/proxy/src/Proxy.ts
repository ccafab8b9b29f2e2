import { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import { StatementClassifier } from "@pomeloturn/classify-statement/StatementClassifier";
import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import { LatencyHistograms } from "@pomeloturn/histograms/LatencyHistograms";
import { Counters } from "@pomeloturn/logger/Counters";
import { createLogger, type ProcessLogger } from "@pomeloturn/logger/createLogger";
import type { OperatorServer } from "@pomeloturn/operator-link/OperatorServer";
import { PeerServer } from "@pomeloturn/peer-link/PeerServer";
import type { SessionAction, SessionContext } from "@pomeloturn/session/sessionMessages";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { type ActorSystemRef, start, stop } from "nact";
import { CallerListener } from "./CallerListener.ts";
import { ControllerConnection } from "./ControllerConnection.ts";
import { createLinkBudgets, type ProxyLinks } from "./createLinkBudgets.ts";
import { LocalHolders } from "./LocalHolders.ts";
import { ProxyDrain } from "./ProxyDrain.ts";
import { createProxyOperator } from "./ProxyOperator.ts";
import type { ProxySettings } from "./ProxySettings.ts";
import { RequestGate } from "./RequestGate.ts";
import { RequestRouter } from "./RequestRouter.ts";
import { RetryBudgets } from "./RetryBudgets.ts";
import type { SessionEnvironment } from "./SessionActor.ts";
import { StatusPoller } from "./StatusPoller.ts";

const EMPTY_VIEW: ControlView = {
    configVersion: 0,
    configuration: {
        failureDomains: {},
        latency: { betweenFailureDomainsMs: 0, betweenRegionsMs: 0 },
        services: {},
        groups: {},
        links: [],
    },
    vms: {},
    groups: {},
};

/** A complete proxy, run as its own process or embedded in another one. Connects the decision functions to sockets, timers and peers. */
export class Proxy {
    readonly counters = Counters.create();
    readonly histograms = LatencyHistograms.create();
    private readonly logger: ProcessLogger;
    private readonly system: ActorSystemRef = start();
    private readonly local: LocalHolders;
    private readonly gate: RequestGate;
    private readonly router: RequestRouter;
    private readonly peerServer: PeerServer;
    private readonly callers: CallerListener;
    private readonly statistics = RoutingStatistics.create();
    private readonly retryBudgets = RetryBudgets.create();
    private readonly statusPoller: StatusPoller;
    private readonly links: ProxyLinks | undefined;
    private view: ControlView;
    private controllerConnection: ControllerConnection | undefined;
    private operatorServer: OperatorServer | undefined;
    private proxyDrain: ProxyDrain | undefined;
    private nextRequestId = 1;
    /** Called when a graceful shutdown is complete. */
    onDrained: () => void = () => undefined;

    private constructor(private readonly settings: ProxySettings, private readonly classifier: StatementClassifier) {
        const view = (): ControlView => this.view;
        this.logger = createLogger("pomeloturn-proxy", settings.vm);
        this.view = settings.view ?? EMPTY_VIEW;
        this.local = LocalHolders.create(settings.vm, view, monotonicNowMs);
        this.gate = RequestGate.create(this.local, monotonicNowMs);
        this.router = RequestRouter.create(settings.vm, this.gate, view, monotonicNowMs);
        this.statusPoller = StatusPoller.create({ vm: settings.vm, router: this.router, local: this.local, view, nowMs: monotonicNowMs });
        this.links = createLinkBudgets(
            settings,
            view,
            (link, error) => this.logger.warn({ event: "the lease of a paid link could not be renewed", link, message: error.message }),
        );
        this.router.chargeLink = this.links?.chargeRequest ?? this.router.chargeLink;
        this.peerServer = PeerServer.create(this.links?.meter(this.gate) ?? this.gate);
        this.peerServer.onStatusRequest = (vm, onStatus) => this.local.requestStatus(vm, onStatus);
        this.callers = CallerListener.create({
            vm: settings.vm,
            callerLimit: settings.callerLimit,
            view,
            environment: onClosed => this.sessionEnvironment(onClosed),
        });
    }

    /** Creates a proxy that listens for callers and peers. @throws Error if an address cannot be bound */
    static async create(settings: ProxySettings): Promise<Proxy> {
        const proxy = new Proxy(settings, await StatementClassifier.create());
        await proxy.peerServer.listen(settings.peerHost, settings.peerPort);
        await proxy.callers.listen(settings.callerHost, settings.callerPort);
        await proxy.listenForOperators();
        proxy.connectController();
        proxy.logger.info({ event: "listening", callerPort: settings.callerPort, peerPort: settings.peerPort });
        return proxy;
    }

    /** Replaces the view: the configuration, the VMs and the state of the groups. */
    setView(view: ControlView): void {
        this.view = view;
    }

    /** Shuts down gracefully within `durationMs` and then calls `onDrained`. Later calls have no effect. */
    drain(durationMs: number): void {
        if (this.proxyDrain !== undefined) {
            return;
        }
        this.logger.info({ event: "draining", durationMs });
        this.controllerConnection?.requestDrain(durationMs);
        this.callers.drain(false);
        this.proxyDrain = ProxyDrain.create({
            gate: this.gate,
            sessionCount: () => this.callers.sessionCount,
            areLeasesTransferred: () => this.areLeasesTransferred(),
            reportQuiesced: () => this.controllerConnection?.reportQuiesced(),
            endSessions: () => this.callers.drain(true),
            nowMs: monotonicNowMs,
            onDrained: () => this.onDrained(),
        }, durationMs);
    }

    close(): void {
        this.proxyDrain?.close();
        this.controllerConnection?.close();
        this.operatorServer?.close();
        this.callers.close();
        this.statusPoller.close();
        this.links?.close();
        this.router.close();
        this.peerServer.close();
        this.local.close();
        stop(this.system);
    }

    private async listenForOperators(): Promise<void> {
        const { peerHost, operatorPort } = this.settings;
        if (operatorPort !== undefined) {
            this.operatorServer = createProxyOperator({
                counters: this.counters,
                histograms: this.histograms,
                context: () => this.sessionContext(),
                readToken: (service, text) => this.callers.readToken(service, text),
                nowMs: monotonicNowMs,
            });
            await this.operatorServer.listen(peerHost, operatorPort);
        }
    }

    private connectController(): void {
        const { vm, peerHost, controllerPort } = this.settings;
        if (controllerPort !== undefined) {
            const address = `${peerHost}:${controllerPort}`;
            this.controllerConnection = ControllerConnection.create({
                vm,
                address,
                initialView: this.view,
                onView: view => this.setView(view),
                onDrain: durationMs => this.drain(durationMs),
            });
            this.local.onInstanceHealth = (group, instance, isReachable) =>
                this.controllerConnection?.reportInstance(group, instance, isReachable);
        }
    }

    private areLeasesTransferred(): boolean {
        const { vm, controllerPort } = this.settings;
        return controllerPort === undefined || Object.values(this.view.groups).every(({ primary, holders }) => holders[primary] !== vm);
    }

    private sessionEnvironment(onClosed: () => void): SessionEnvironment {
        return {
            system: this.system,
            router: this.router,
            statistics: this.statistics,
            context: () => this.sessionContext(),
            nowMs: monotonicNowMs,
            onRecord: action => this.recordRequest(action),
            onClosed,
        };
    }

    private sessionContext(): SessionContext {
        return {
            view: this.view,
            vm: this.settings.vm,
            failureDomain: this.settings.failureDomain,
            retryBudget: service => this.retryBudgets.find(service, monotonicNowMs()),
            statuses: this.statusPoller.statuses,
            statistics: this.statistics,
            classify: text => this.classifier.classify(text),
            takeRequestId: () => this.nextRequestId++,
            random: Math.random,
        };
    }

    private recordRequest(action: Extract<SessionAction, { kind: "record"; }>): void {
        const rank = this.view.configuration.services[action.service]?.ranks[action.rank]?.name ?? String(action.rank);
        this.histograms.record(action.service, rank, action.latencyMs);
        this.counters.add(action.isReplica ? "requests_replica" : "requests_primary");
        if (action.code !== 0) {
            this.counters.add(`result_${action.code}`);
        }
    }
}
