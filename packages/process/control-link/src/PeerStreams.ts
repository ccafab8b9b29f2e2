import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { ControlClient } from "./ControlClient.ts";
import type { ControlStream } from "./ControlStream.ts";

/** What the streams work with. */
export interface PeerStreamsOptions {
    hello(): pomeloturn.control.IHello;
    /** "host:port" of a VM's controller; undefined when the VM is not known. */
    addressOf(vm: string): string | undefined;
    onMessage(fromVm: string, message: pomeloturn.control.IControlMessage): void;
    nowMs(): number;
}

interface Outgoing {
    readonly address: string;
    readonly client: ControlClient;
    usedAtMs: number;
}

/** Time without a message to send after which a stream is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/** At most one stream to each VM that there is something to tell, in either direction. */
export class PeerStreams {
    private readonly outgoing = new Map<string, Outgoing>();
    private readonly incoming = new Map<string, ControlStream>();

    private constructor(private readonly options: PeerStreamsOptions) {}

    static create(options: PeerStreamsOptions): PeerStreams {
        return new PeerStreams(options);
    }

    /** Sends a message, which may be lost. */
    send(vm: string, message: pomeloturn.control.IControlMessage): void {
        // A VM that was reached by its address alone is answered over the same stream.
        const address = this.options.addressOf(vm) ?? this.outgoing.get(vm)?.address;
        const incoming = this.incoming.get(vm);
        if (incoming !== undefined && !this.outgoing.has(vm)) {
            incoming.send(message);
            return;
        }
        if (address !== undefined) {
            this.sendTo(vm, address, message);
        }
    }

    /** Sends to an address whose VM is not known yet. */
    sendToAddress(address: string, message: pomeloturn.control.IControlMessage): void {
        this.sendTo(`address ${address}`, address, message);
    }

    /** Notes a stream that another controller opened. */
    addIncoming(vm: string, writer: ControlStream): void {
        this.incoming.set(vm, writer);
    }

    removeIncoming(vm: string, writer: ControlStream): void {
        if (this.incoming.get(vm) === writer) {
            this.incoming.delete(vm);
        }
    }

    /** Closes streams that have not been used for a while. */
    closeIdle(): void {
        for (const [vm, { client, usedAtMs }] of this.outgoing) {
            if (this.options.nowMs() - usedAtMs > IDLE_TIMEOUT_MS) {
                client.close();
                this.outgoing.delete(vm);
            }
        }
    }

    close(): void {
        for (const { client } of this.outgoing.values()) {
            client.close();
        }
        this.outgoing.clear();
    }

    private sendTo(vm: string, address: string, message: pomeloturn.control.IControlMessage): void {
        const stream = this.findOutgoing(vm, address);
        stream.usedAtMs = this.options.nowMs();
        stream.client.send(message);
    }

    private findOutgoing(vm: string, address: string): Outgoing {
        const known = this.outgoing.get(vm);
        if (known?.address === address) {
            return known;
        }
        known?.client.close();
        const client = ControlClient.create({
            address,
            hello: () => this.options.hello(),
            onMessage: message => this.options.onMessage(vm, message),
            onLost: () => undefined,
        });
        const created = { address, client, usedAtMs: this.options.nowMs() };
        this.outgoing.set(vm, created);
        return created;
    }
}
