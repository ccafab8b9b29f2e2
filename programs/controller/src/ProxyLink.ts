import { buildViewUpdate } from "@pomeloturn/control-link/convertView";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { ControlView } from "@pomeloturn/types/ControlView";

/** Sends a message to the proxy. */
export type ProxySender = (message: pomeloturn.control.IControlMessage) => void;

/** Sends the view, its changes and the order to shut down to this VM's proxy. */
export class ProxyLink {
    /** Whether a proxy has connected since the start of this process. */
    hasConnected = false;
    /** Monotonic time in milliseconds by which the proxy has to have shut down; undefined before it is to. */
    private drainDeadlineAtMs: number | undefined;
    private lastSentView: ControlView | undefined;
    private sender: ProxySender | undefined;

    /** @param nowMs returns the monotonic time in milliseconds */
    private constructor(private readonly nowMs: () => number) {}

    static create(nowMs: () => number): ProxyLink {
        return new ProxyLink(nowMs);
    }

    get isConnected(): boolean {
        return this.sender !== undefined;
    }

    /** Registers a new stream of the proxy and sends it the whole view. */
    connect(sender: ProxySender, view: ControlView | undefined): void {
        this.sender = sender;
        this.hasConnected = true;
        this.lastSentView = undefined;
        this.sendDrain();
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

    /** Orders the proxy to shut down within `durationMs`, also one that connects later. */
    drain(durationMs: number): void {
        this.drainDeadlineAtMs = this.nowMs() + durationMs;
        this.sendDrain();
    }

    private sendDrain(): void {
        if (this.drainDeadlineAtMs !== undefined) {
            this.sender?.({ drain: { deadlineLeftMs: Math.max(0, Math.round(this.drainDeadlineAtMs - this.nowMs())) } });
        }
    }
}
