import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceCommand, InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { Decoder, InstanceProtocol } from "@pomeloturn/types/Protocols";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { connect, type Socket } from "node:net";
import type { CommandChannel } from "./CommandChannel.ts";

/** Idle time after which the kernel probes a connection that may have gone silent. */
const KEEP_ALIVE_DELAY_MS = 2_000;

/** Where a connection goes. */
export interface ConnectionTarget {
    readonly host: string;
    readonly port: number;
    readonly service: string;
    readonly instanceId: string;
    /** Names this VM to the instance. */
    readonly caller: string;
}

/** A reply in place of one that never came. */
export const lostReply = (text: string): InstanceReply => ({
    code: ResultCode.BackendLost,
    rows: [],
    proof: "",
    text,
    status: TransactionStatus.Failed,
    position: undefined,
});

/** A connection over a socket. */
export class InstanceConnection implements CommandChannel {
    private readonly waiting: ((reply: InstanceReply) => void)[] = [];
    private readonly decoder: Decoder<InstanceReply>;
    private closeReason: string | undefined;

    readonly greeting: Promise<InstanceReply>;

    private constructor(
        private readonly socket: Socket,
        private readonly protocol: InstanceProtocol,
        private readonly onClosed: (reason: string, isRemote: boolean) => void,
    ) {
        this.decoder = protocol.createDecoder();
        this.greeting = new Promise(resolve => this.waiting.push(resolve));
    }

    /** @param onClosed called once, when the connection is gone; `isRemote` unless this process closed it */
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
        socket.on("error", error => connection.end((error as NodeJS.ErrnoException).code ?? error.message, true));
        socket.on("close", () => connection.end("closed by the instance", true));
        socket.write(protocol.encodeStartup(target.service, target.caller, target.instanceId), "latin1");
        return connection;
    }

    get isClosed(): boolean {
        return this.closeReason !== undefined;
    }

    get outstandingCount(): number {
        return this.waiting.length;
    }

    send(commands: readonly InstanceCommand[]): Promise<InstanceReply>[] {
        if (this.closeReason !== undefined) {
            return commands.map(() => Promise.resolve(lostReply(this.closeReason!)));
        }
        const replies = commands.map(() => new Promise<InstanceReply>(resolve => this.waiting.push(resolve)));
        this.socket.write(commands.map(command => this.protocol.encodeCommand(command)).join(""), "latin1");
        return replies;
    }

    close(reason: string): void {
        this.end(reason, false);
    }

    private end(reason: string, isRemote: boolean): void {
        if (this.closeReason !== undefined) {
            return;
        }
        this.closeReason = reason;
        this.socket.destroy();
        this.waiting.splice(0).forEach(resolve => resolve(lostReply(reason)));
        this.onClosed(reason, isRemote);
    }

    private receive(chunk: Buffer): void {
        try {
            for (const reply of this.decoder.push(chunk)) {
                this.waiting.shift()?.(reply);
            }
        }
        catch (error) {
            this.close((error as Error).message);
        }
    }
}
