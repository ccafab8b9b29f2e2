import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { ControlBatchWriter } from "./ControlBatchWriter.ts";
import { ControlClient } from "./ControlClient.ts";

/** Dependencies of the streams. */
export interface PeerStreamsOptions {
    hello(): pomeloturn.control.IHello;
    /** Returns "host:port" of a VM's controller, or undefined when the VM is not known. */
    addressOf(vm: string): string | undefined;
    onMessage(fromVm: string, message: pomeloturn.control.IControlMessage): void;
    nowMs(): number;
}

interface OutgoingStream {
    readonly address: string;
    readonly client: ControlClient;
    usedAtMs: number;
}

/** Time without an outgoing message after which a stream is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * Streams to the controllers of other VMs, opened on demand. An incoming stream of a VM is reused for sending instead
 * of opening a second one.
 */
export class PeerStreams {
    private readonly outgoing = new Map<string, OutgoingStream>();
    private readonly incoming = new Map<string, ControlBatchWriter>();

    private constructor(private readonly options: PeerStreamsOptions) {}

    static create(options: PeerStreamsOptions): PeerStreams {
        return new PeerStreams(options);
    }

    /** Sends a message to a VM's controller. Delivery is not guaranteed. */
    send(vm: string, message: pomeloturn.control.IControlMessage): void {
        // A VM that was contacted by its address alone is answered over the same stream.
        const address = this.options.addressOf(vm) ?? this.outgoing.get(vm)?.address;
        const incoming = this.incoming.get(vm);
        if (incoming !== undefined && !this.outgoing.has(vm)) {
            incoming.send(message);
            return;
        }
        if (address !== undefined) {
            this.sendOverOutgoing(vm, address, message);
        }
    }

    /** Sends a message to the controller at an address whose VM is not known yet. */
    sendToAddress(address: string, message: pomeloturn.control.IControlMessage): void {
        this.sendOverOutgoing(`address ${address}`, address, message);
    }

    /** Registers a stream that another controller opened. */
    addIncoming(vm: string, writer: ControlBatchWriter): void {
        this.incoming.set(vm, writer);
    }

    removeIncoming(vm: string, writer: ControlBatchWriter): void {
        if (this.incoming.get(vm) === writer) {
            this.incoming.delete(vm);
        }
    }

    /** Closes outgoing streams that have been idle for longer than the idle timeout. */
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

    private sendOverOutgoing(vm: string, address: string, message: pomeloturn.control.IControlMessage): void {
        const stream = this.findOrOpenOutgoing(vm, address);
        stream.usedAtMs = this.options.nowMs();
        stream.client.send(message);
    }

    private findOrOpenOutgoing(vm: string, address: string): OutgoingStream {
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
