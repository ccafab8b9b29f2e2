import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import { ControlServer, type IncomingHandler } from "@pomeloturn/control-link/ControlServer";
import type { ControlStream } from "@pomeloturn/control-link/ControlStream";
import { PeerStreams } from "@pomeloturn/control-link/PeerStreams";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { createLogger, type ProcessLogger } from "@pomeloturn/logger/createLogger";
import { Condition, type Member } from "@pomeloturn/membership/Member";
import { HEARTBEAT_INTERVAL_MS } from "@pomeloturn/membership/stepMembership";
import { PlatformClient } from "@pomeloturn/platform-client/PlatformClient";
import { type ActorSystemRef, start, stop } from "nact";
import { ControllerNode } from "./ControllerNode.ts";
import type { ControllerSettings } from "./ControllerSettings.ts";
import { DatabaseClient } from "./DatabaseClient.ts";
import { UnwitnessedLeases } from "./UnwitnessedLeases.ts";

type IControlMessage = pomeloturn.control.IControlMessage;

const VIEW_INTERVAL_MS = 100;

/** A whole controller: sockets and timers around a `ControllerNode`, in one process or embedded. */
export class Controller {
    readonly node: ControllerNode;
    private readonly logger: ProcessLogger;
    private readonly system: ActorSystemRef = start();
    private readonly streams: PeerStreams;
    private readonly server: ControlServer;
    private readonly timers: NodeJS.Timeout[] = [];
    /** Called when another process runs under this VM's name. */
    onSuperseded: () => void = () => undefined;

    private constructor(private readonly settings: ControllerSettings, incarnation: number) {
        this.logger = createLogger("pomeloturn-controller", settings.vm);
        this.streams = PeerStreams.create({
            hello: () => ({ self: this.node.members.state.self }),
            addressOf: vm => this.addressOf(vm),
            onMessage: (from, message) => this.node.receive(from, message),
            nowMs: monotonicNowMs,
        });
        this.server = ControlServer.create((hello, writer) => this.accept(hello, writer));
        this.node = this.createNode(incarnation);
    }

    /** Starts listening for other controllers and the VM's proxy. */
    static async create(settings: ControllerSettings): Promise<Controller> {
        const controller = new Controller(settings, Date.now());
        await controller.server.listen(settings.host, settings.controllerPort);
        controller.startTimers();
        controller.logger.info({ event: "listening", controllerPort: settings.controllerPort });
        return controller;
    }

    close(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.node.close();
        this.streams.close();
        this.server.close();
        stop(this.system);
    }

    private createNode(incarnation: number): ControllerNode {
        const { settings } = this;
        const platform = PlatformClient.create({ url: settings.platformUrl, vm: settings.vm, timeoutMs: settings.platformTimeoutMs });
        return ControllerNode.create({
            system: this.system,
            self: describeSelf(settings, incarnation),
            seeds: settings.seeds,
            table: platform,
            objects: platform,
            vmList: platform,
            transport: this.streams,
            createLeases: node => {
                const database = DatabaseClient.create(settings.vm, () => node.configuration.configuration);
                return UnwitnessedLeases.create(settings.vm, database, monotonicNowMs, () => node.pushView());
            },
            nowMs: monotonicNowMs,
            onConfigurationInvalid: (objectName, error) =>
                this.logger.error({ event: "configuration invalid", objectName, message: error.message }),
            onSuperseded: () => {
                this.logger.error({ event: "superseded" });
                this.onSuperseded();
            },
        });
    }

    private startTimers(): void {
        this.node.tick();
        this.timers.push(
            setInterval(() => {
                this.node.tick();
                this.streams.closeIdle();
            }, HEARTBEAT_INTERVAL_MS),
            setInterval(() => this.node.pushView(), VIEW_INTERVAL_MS),
        );
    }

    private addressOf(vm: string): string | undefined {
        const member = this.node.members.state.members.get(vm);
        return member === undefined ? undefined : `${member.host}:${member.controllerPort}`;
    }

    private accept(hello: pomeloturn.control.IHello, writer: ControlStream): IncomingHandler {
        return hello.isProxy ? this.acceptProxy(writer) : this.acceptPeer(hello, writer);
    }

    private acceptPeer(hello: pomeloturn.control.IHello, writer: ControlStream): IncomingHandler {
        const vm = hello.self?.vm ?? "";
        this.streams.addIncoming(vm, writer);
        this.node.receive(vm, { hello });
        return {
            onMessage: message => this.node.receive(vm, message),
            onLost: () => this.streams.removeIncoming(vm, writer),
        };
    }

    private acceptProxy(writer: ControlStream): IncomingHandler {
        const sender = (message: IControlMessage): void => writer.send(message);
        this.node.proxy.connect(sender, this.node.view);
        return {
            onMessage: ({ instanceReport }) => {
                if (instanceReport) {
                    const { group, instance, isReachable } = instanceReport;
                    this.node.leases.reportInstance(group ?? "", instance ?? "", isReachable ?? false);
                }
            },
            onLost: () => this.node.proxy.disconnect(sender),
        };
    }
}

const describeSelf = (settings: ControllerSettings, incarnation: number): Member => {
    const { vm, host, peerPort, controllerPort, failureDomain } = settings;
    return { vm, incarnation, sequence: 0, condition: Condition.Alive, isLeaving: false, host, peerPort, controllerPort, failureDomain };
};
