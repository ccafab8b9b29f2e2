import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import type { ControlBatchWriter } from "@pomeloturn/control-link/ControlBatchWriter";
import { ControlServer, type IncomingHandler } from "@pomeloturn/control-link/ControlServer";
import { PeerStreams } from "@pomeloturn/control-link/PeerStreams";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { LeaseRunner } from "@pomeloturn/lease-runner/LeaseRunner";
import { createLogger, type ProcessLogger } from "@pomeloturn/logger/createLogger";
import { LineRateLimiter } from "@pomeloturn/logger/LineRateLimiter";
import { Condition, type Member } from "@pomeloturn/membership/Member";
import { HEARTBEAT_INTERVAL_MS } from "@pomeloturn/membership/stepMembership";
import { OperatorServer } from "@pomeloturn/operator-link/OperatorServer";
import { PlatformClient } from "@pomeloturn/platform-client/PlatformClient";
import type { LeaseService } from "@pomeloturn/types/Leadership";
import type { TableService } from "@pomeloturn/types/Platform";
import { type ActorSystemRef, start, stop } from "nact";
import { buildSystemStatus } from "./buildSystemStatus.ts";
import { ControllerDrain } from "./ControllerDrain.ts";
import { ControllerNode } from "./ControllerNode.ts";
import type { ControllerSettings } from "./ControllerSettings.ts";
import { DatabaseClient } from "./DatabaseClient.ts";
import { DrainOrders } from "./DrainOrders.ts";

type IControlMessage = pomeloturn.control.IControlMessage;

const VIEW_PUSH_INTERVAL_MS = 100;
/** Time for the proxy to connect for the first time during a shutdown. */
const PROXY_CONNECT_WAIT_MS = 5_000;
/** Limits the log during an outage of the store, in which one call per group and interval fails. */
const MAXIMUM_FAILURE_LINES_PER_SECOND = 2;

/** A controller with its sockets and timers around a `ControllerNode`. Runs as a process or embedded in one. */
export class Controller {
    readonly node: ControllerNode;
    private readonly logger: ProcessLogger;
    private readonly actorSystem: ActorSystemRef = start();
    private readonly streams: PeerStreams;
    private readonly server: ControlServer;
    private readonly database: DatabaseClient;
    private readonly operatorServer = OperatorServer.create({
        status: () =>
            buildSystemStatus(
                this.settings.vm,
                this.node,
                this.database,
                (subject, error) => this.logFailure("probe", subject, error),
                monotonicNowMs(),
            ),
        drain: args => this.drainVm(args["vm"] ?? this.settings.vm),
        promote: async args => ({ code: await this.node.leases.promote(args["group"] ?? "", args["instance"] ?? "") }),
    });
    private readonly failureLogLimiter = LineRateLimiter.create(MAXIMUM_FAILURE_LINES_PER_SECOND);
    private readonly timers: NodeJS.Timeout[] = [];
    private controllerDrain: ControllerDrain | undefined;
    private readonly drainOrders = DrainOrders.create(vm =>
        this.streams.send(vm, { drain: { deadlineLeftMs: this.settings.drainDeadlineMs } })
    );
    /** Called when the graceful shutdown is complete. */
    onDrained: () => void = () => undefined;
    /** Called when a newer controller process has started under this VM's name. */
    onSuperseded: () => void = () => undefined;

    private constructor(private readonly settings: ControllerSettings, incarnation: number) {
        this.logger = createLogger("pomeloturn-controller", settings.vm);
        this.streams = PeerStreams.create({
            hello: () => ({ self: this.node.members.state.self }),
            addressOf: vm => this.addressOf(vm),
            onMessage: (from, message) => this.receiveFromPeer(from, message),
            nowMs: monotonicNowMs,
        });
        this.database = DatabaseClient.create(
            settings.vm,
            () => this.node.activeConfiguration.configuration,
            (subject, error) => this.logFailure("close connection", subject, error),
        );
        this.server = ControlServer.create((hello, writer) => this.accept(hello, writer));
        this.node = this.createNode(incarnation);
    }

    /** Starts listening for other controllers, the VM's proxy and, when a port is set, operators' commands. */
    static async create(settings: ControllerSettings): Promise<Controller> {
        const controller = new Controller(settings, Date.now());
        await controller.server.listen(settings.host, settings.controllerPort);
        if (settings.operatorPort !== undefined) {
            await controller.operatorServer.listen(settings.host, settings.operatorPort);
        }
        controller.startTimers();
        controller.logger.info({ event: "listening", controllerPort: settings.controllerPort });
        return controller;
    }

    /**
     * Shuts the VM's proxy and this controller down gracefully: transfers the leases of this VM and lets running
     * requests finish. Further calls have no effect.
     *
     * @param durationMs time limit of the proxy's shutdown
     */
    drain(durationMs: number): void {
        if (this.controllerDrain !== undefined) {
            return;
        }
        this.logger.info({ event: "draining", durationMs });
        this.node.leave();
        const { proxy } = this.node;
        proxy.drain(durationMs);
        const connectsByMs = monotonicNowMs() + PROXY_CONNECT_WAIT_MS;
        this.controllerDrain = ControllerDrain.create({
            // A proxy that has just been started has to learn of the order too.
            isProxyConnected: () => proxy.isConnected || (!proxy.hasConnected && monotonicNowMs() < connectsByMs),
            releaseLeases: () => this.node.leases.release(),
            nowMs: monotonicNowMs,
            onDrained: () => this.onDrained(),
            onReleaseFailed: error => this.logFailure("release leases", this.settings.vm, error),
        }, durationMs);
    }

    close(): void {
        this.controllerDrain?.close();
        this.timers.forEach(timer => clearInterval(timer));
        this.node.close();
        this.database.close();
        this.streams.close();
        this.operatorServer.close();
        this.server.close();
        stop(this.actorSystem);
    }

    /** Drains this VM, or forwards the command to the controller of another one. `isOrdered` is false for an unknown VM. */
    private drainVm(vm: string): { readonly isOrdered: boolean; } {
        if (vm === this.settings.vm) {
            this.drain(this.settings.drainDeadlineMs);
            return { isOrdered: true };
        }
        const isKnown = this.node.members.state.members.has(vm);
        if (isKnown) {
            this.drainOrders.order(vm, monotonicNowMs());
        }
        return { isOrdered: isKnown };
    }

    private createNode(incarnation: number): ControllerNode {
        const { settings } = this;
        const platform = PlatformClient.create({ url: settings.platformUrl, vm: settings.vm, timeoutMs: settings.platformTimeoutMs });
        return ControllerNode.create({
            system: this.actorSystem,
            self: createSelfMember(settings, incarnation),
            seeds: settings.seeds,
            table: platform,
            objects: platform,
            vmList: platform,
            transport: this.streams,
            createLeases: node => this.createLeases(node, incarnation, platform),
            nowMs: monotonicNowMs,
            onConfigurationLost: (version, storedVersion, isRewritten) =>
                this.logger.warn({
                    event: isRewritten
                        ? "the table service had lost the active configuration version and has it again"
                        : "the table service has a lower configuration version than the active one, which stays in use",
                    version,
                    storedVersion,
                }),
            onConfigurationInvalid: (objectName, error) =>
                this.logger.error({
                    event: "a configuration version is not valid; the active version stays in use",
                    objectName,
                    message: error.message,
                }),
            onSuperseded: () => {
                this.logger.error({ event: "a newer controller process has started under this VM's name; this one stops" });
                this.onSuperseded();
            },
        });
    }

    private createLeases(node: ControllerNode, incarnation: number, table: TableService): LeaseService {
        return LeaseRunner.create({
            vm: this.settings.vm,
            incarnation,
            table,
            database: this.database,
            send: (vm, payload) => this.streams.send(vm, { lease: { payload } }),
            nowMs: monotonicNowMs,
            random: Math.random,
            onChange: () => node.pushView(),
            onCallFailed: (call, subject, error) => this.logFailure(call, subject, error),
        });
    }

    /** Logs a failed call. Lines above the rate limit are dropped and counted in the next line. */
    private logFailure(call: string, subject: string, error: Error): void {
        const droppedLines = this.failureLogLimiter.tryAcquire(monotonicNowMs());
        if (droppedLines !== undefined) {
            this.logger.warn({ event: "an operation of the controller failed", call, subject, message: error.message, droppedLines });
        }
    }

    private startTimers(): void {
        this.node.tick();
        this.timers.push(
            setInterval(() => {
                this.node.tick();
                this.streams.closeIdle();
                this.drainOrders.repeat(vm => this.isLeaving(vm), monotonicNowMs());
            }, HEARTBEAT_INTERVAL_MS),
            setInterval(() => this.node.pushView(), VIEW_PUSH_INTERVAL_MS),
        );
    }

    private isLeaving(vm: string): boolean {
        const member = this.node.members.state.members.get(vm);
        return member === undefined || member.isLeaving || member.condition === Condition.Gone;
    }

    private addressOf(vm: string): string | undefined {
        const member = this.node.members.state.members.get(vm);
        return member === undefined ? undefined : `${member.host}:${member.controllerPort}`;
    }

    private accept(hello: pomeloturn.control.IHello, writer: ControlBatchWriter): IncomingHandler {
        return hello.isProxy ? this.acceptProxy(writer) : this.acceptPeer(hello, writer);
    }

    private acceptPeer(hello: pomeloturn.control.IHello, writer: ControlBatchWriter): IncomingHandler {
        const vm = hello.self?.vm ?? "";
        this.streams.addIncoming(vm, writer);
        this.node.receive(vm, { hello });
        return {
            onMessage: message => this.receiveFromPeer(vm, message),
            onLost: () => this.streams.removeIncoming(vm, writer),
        };
    }

    private receiveFromPeer(from: string, message: IControlMessage): void {
        if (message.drain) {
            this.drain(message.drain.deadlineLeftMs ?? 0);
            return;
        }
        this.node.receive(from, message);
    }

    private receiveFromProxy({ instanceReport, drain, proxyState }: IControlMessage): void {
        if (instanceReport) {
            const { group, instance, isReachable } = instanceReport;
            this.node.leases.reportInstance(group ?? "", instance ?? "", isReachable ?? false);
        }
        if (drain) {
            this.drain(drain.deadlineLeftMs ?? 0);
        }
        if (proxyState?.isQuiet && this.controllerDrain !== undefined) {
            this.controllerDrain.isProxyQuiesced = true;
        }
    }

    private acceptProxy(writer: ControlBatchWriter): IncomingHandler {
        const sendToProxy = (message: IControlMessage): void => writer.send(message);
        this.node.proxy.connect(sendToProxy, this.node.view);
        return {
            onMessage: message => this.receiveFromProxy(message),
            onLost: () => this.node.proxy.disconnect(sendToProxy),
        };
    }
}

const createSelfMember = (settings: ControllerSettings, incarnation: number): Member => {
    const { vm, host, peerPort, controllerPort, failureDomain } = settings;
    return { vm, incarnation, sequence: 0, condition: Condition.Alive, isLeaving: false, host, peerPort, controllerPort, failureDomain };
};
