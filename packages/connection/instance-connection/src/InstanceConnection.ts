import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { Decoder, InstanceProtocol } from "@pomeloturn/types/Protocols";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { connect, type Socket } from "node:net";
import type { CommandChannel } from "./CommandChannel.ts";

/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_DELAY_MS = 2_000;

/** Instance to connect to, and the name of this VM. */
export interface ConnectionTarget {
    readonly host: string;
    readonly port: number;
    readonly service: string;
    readonly instanceId: string;
    /** Name of this VM, sent to the instance at start-up. */
    readonly caller: string;
}

/** Creates the `BackendLost` reply of a command whose reply was not received. @param text why it was not received */
export const createLostReply = (text: string): InstanceReply => ({
    code: ResultCode.BackendLost,
    rows: [],
    proof: "",
    text,
    status: TransactionStatus.Failed,
    position: undefined,
});

/** Connection to an instance over TCP. */
export class InstanceConnection implements CommandChannel {
    private readonly pendingReplies: ((reply: InstanceReply) => void)[] = [];
    private readonly decoder: Decoder<InstanceReply>;
    private closeReason: string | undefined;

    readonly startupReply: Promise<InstanceReply>;

    private constructor(
        private readonly socket: Socket,
        private readonly protocol: InstanceProtocol,
        private readonly onClosed: (reason: string, isRemote: boolean) => void,
    ) {
        this.decoder = protocol.createDecoder();
        this.startupReply = new Promise(resolve => this.pendingReplies.push(resolve));
    }

    /**
     * Starts connecting; `startupReply` resolves with the outcome.
     *
     * @param onClosed called once when the connection is closed; `isRemote` is false if `close` was called or a reply was malformed
     */
    static create(
        target: ConnectionTarget,
        protocol: InstanceProtocol,
        onClosed: (reason: string, isRemote: boolean) => void,
    ): InstanceConnection {
        const socket = connect({
            host: target.host,
            port: target.port,
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
        });
        const connection = new InstanceConnection(socket, protocol, onClosed);
        socket.on("data", chunk => connection.receive(chunk));
        socket.on("error", error => connection.handleClosed((error as NodeJS.ErrnoException).code ?? error.message, true));
        socket.on("close", () => connection.handleClosed("the instance closed the connection", true));
        socket.write(protocol.encodeStartup(target.service, target.caller, target.instanceId), "latin1");
        return connection;
    }

    get isClosed(): boolean {
        return this.closeReason !== undefined;
    }

    get outstandingReplyCount(): number {
        return this.pendingReplies.length;
    }

    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[] {
        if (this.closeReason !== undefined) {
            return commands.map(() => Promise.resolve(createLostReply(this.closeReason!)));
        }
        const replies = commands.map(() => new Promise<InstanceReply>(resolve => this.pendingReplies.push(resolve)));
        this.socket.write(commands.map(command => this.protocol.encodeCommand(command)).join(""), "latin1");
        return replies;
    }

    close(reason: string): void {
        this.handleClosed(reason, false);
    }

    private handleClosed(reason: string, isRemote: boolean): void {
        if (this.closeReason !== undefined) {
            return;
        }
        this.closeReason = reason;
        this.socket.destroy();
        this.pendingReplies.splice(0).forEach(resolve => resolve(createLostReply(reason)));
        this.onClosed(reason, isRemote);
    }

    private receive(chunk: Buffer): void {
        try {
            for (const reply of this.decoder.push(chunk)) {
                this.pendingReplies.shift()?.(reply);
            }
        }
        catch (error) {
            this.close((error as Error).message);
        }
    }
}
