import { ControlClient } from "@pomeloturn/control-link/ControlClient";
import { applyViewUpdate } from "@pomeloturn/control-link/convertView";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { ControlView } from "@pomeloturn/types/ControlView";

const RECONNECT_DELAY_MS = 200;

/** What the source works with. */
export interface ControlSourceOptions {
    readonly vm: string;
    /** "host:port" of the controller of this VM. */
    readonly address: string;
    readonly initialView: ControlView;
    onView(view: ControlView): void;
    /** The VM is to shut down within this time. */
    onDrain(durationMs: number): void;
}

/** The proxy's stream to the controller of its VM. While the controller is away, the last view stands. */
export class ControlSource {
    private readonly client: ControlClient;
    private view: ControlView;
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;

    private constructor(private readonly options: ControlSourceOptions) {
        this.view = options.initialView;
        this.client = ControlClient.create({
            address: options.address,
            hello: () => ({ self: { vm: options.vm }, isProxy: true }),
            onMessage: message => this.receive(message),
            onLost: () => this.reconnect(),
        });
        this.client.connect();
    }

    static create(options: ControlSourceOptions): ControlSource {
        return new ControlSource(options);
    }

    /** Tells whether an instance that this VM holds answers. */
    reportInstance(group: string, instance: string, isReachable: boolean): void {
        this.client.send({ instanceReport: { group, instance, isReachable } });
    }

    /** Asks the controller to shut the VM down; it answers with an order to this proxy. */
    requestDrain(durationMs: number): void {
        this.client.send({ drain: { deadlineLeftMs: durationMs } });
    }

    /** Tells that nothing here needs the VM's leases any more. */
    reportQuiet(): void {
        this.client.send({ proxyState: { isQuiet: true } });
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
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
            this.timer = setTimeout(() => this.client.connect(), RECONNECT_DELAY_MS);
        }
    }
}
