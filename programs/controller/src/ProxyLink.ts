import { buildViewUpdate } from "@pomeloturn/control-link/convertView";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { ControlView } from "@pomeloturn/types/ControlView";

/** Sends a message to the proxy. */
export type ProxySender = (message: pomeloturn.control.IControlMessage) => void;

/** Sends the view and its changes to this VM's proxy. Messages are dropped while no proxy is connected. */
export class ProxyLink {
    private lastSentView: ControlView | undefined;
    private sender: ProxySender | undefined;

    private constructor() {}

    static create(): ProxyLink {
        return new ProxyLink();
    }

    get isConnected(): boolean {
        return this.sender !== undefined;
    }

    /** Registers a new stream of the proxy and sends it the whole view. */
    connect(sender: ProxySender, view: ControlView | undefined): void {
        this.sender = sender;
        this.lastSentView = undefined;
        if (view !== undefined) {
            this.push(view);
        }
    }

    /** Forgets the stream unless the proxy has opened another one since. */
    disconnect(sender: ProxySender): void {
        if (this.sender === sender) {
            this.sender = undefined;
        }
    }

    /** Sends the changes since the last sent view; sends nothing when there are none. */
    push(view: ControlView): void {
        if (this.sender === undefined) {
            return;
        }
        const viewUpdate = buildViewUpdate(this.lastSentView, view);
        this.lastSentView = view;
        if (viewUpdate !== undefined) {
            this.sender({ viewUpdate });
        }
    }

    send(message: pomeloturn.control.IControlMessage): void {
        this.sender?.(message);
    }
}
