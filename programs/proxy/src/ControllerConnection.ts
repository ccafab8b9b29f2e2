import { ControlClient } from "@pomeloturn/control-link/ControlClient";
import { applyViewUpdate } from "@pomeloturn/control-link/convertView";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { ControlView } from "@pomeloturn/types/ControlView";

const RECONNECT_DELAY_MS = 200;

/** Options of `ControllerConnection`. */
export interface ControllerConnectionOptions {
    readonly vm: string;
    /** "host:port" of the controller of this VM. */
    readonly address: string;
    readonly initialView: ControlView;
    /** Called with the complete view after each update. */
    onView(view: ControlView): void;
    /** Called when the controller orders the shutdown of this VM within `durationMs`. */
    onDrain(durationMs: number): void;
}

/** Connection of the proxy to the controller of its VM. Reconnects after a loss; until then the last view stays valid. */
export class ControllerConnection {
    private readonly client: ControlClient;
    private view: ControlView;
    private reconnectTimer: NodeJS.Timeout | undefined;
    private isClosed = false;

    private constructor(private readonly options: ControllerConnectionOptions) {
        this.view = options.initialView;
        this.client = ControlClient.create({
            address: options.address,
            hello: () => ({ self: { vm: options.vm }, isProxy: true }),
            onMessage: message => this.receive(message),
            onLost: () => this.reconnect(),
        });
        this.client.connect();
    }

    static create(options: ControllerConnectionOptions): ControllerConnection {
        return new ControllerConnection(options);
    }

    /** Reports whether an instance that this VM holds is reachable. */
    reportInstance(group: string, instance: string, isReachable: boolean): void {
        this.client.send({ instanceReport: { group, instance, isReachable } });
    }

    /** Asks the controller to shut the VM down. The controller then sends the order to this proxy. */
    requestDrain(durationMs: number): void {
        this.client.send({ drain: { deadlineLeftMs: durationMs } });
    }

    /** Reports that no work of this proxy needs the VM's leases any more. */
    reportQuiesced(): void {
        this.client.send({ proxyState: { isQuiet: true } });
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.reconnectTimer);
        this.client.close();
    }

    private receive({ viewUpdate, drain }: pomeloturn.control.IControlMessage): void {
        if (drain) {
            this.options.onDrain(drain.deadlineLeftMs ?? 0);
        }
        if (viewUpdate) {
            this.view = applyViewUpdate(this.view, viewUpdate);
            this.options.onView(this.view);
        }
    }

    private reconnect(): void {
        if (!this.isClosed) {
            this.reconnectTimer = setTimeout(() => this.client.connect(), RECONNECT_DELAY_MS);
        }
    }
}
