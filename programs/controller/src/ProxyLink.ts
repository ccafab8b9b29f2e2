import { buildViewUpdate } from "@pomeloturn/control-link/convertView";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { ControlView } from "@pomeloturn/types/ControlView";

/** Sends one message to the proxy. */
export type ProxySender = (message: pomeloturn.control.IControlMessage) => void;

/** The stream of this VM's proxy, which gets the view and each change of it. */
export class ProxyLink {
    private sent: ControlView | undefined;
    private sender: ProxySender | undefined;

    private constructor() {}

    static create(): ProxyLink {
        return new ProxyLink();
    }

    get isConnected(): boolean {
        return this.sender !== undefined;
    }

    /** The proxy opened a stream; it gets the whole view. */
    connect(sender: ProxySender, view: ControlView | undefined): void {
        this.sender = sender;
        this.sent = undefined;
        if (view !== undefined) {
            this.push(view);
        }
    }

    disconnect(sender: ProxySender): void {
        if (this.sender === sender) {
            this.sender = undefined;
        }
    }

    /** Sends what changed since the last view. */
    push(view: ControlView): void {
        if (this.sender === undefined) {
            return;
        }
        const viewUpdate = buildViewUpdate(this.sent, view);
        this.sent = view;
        if (viewUpdate !== undefined) {
            this.sender({ viewUpdate });
        }
    }

    send(message: pomeloturn.control.IControlMessage): void {
        this.sender?.(message);
    }
}
