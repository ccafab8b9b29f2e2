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

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
        this.client.close();
    }

    private receive({ viewUpdate }: pomeloturn.control.IControlMessage): void {
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
