import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { createSocket, type Socket } from "node:dgram";

const BIND_RETRY_MS = 1_000;
/** Datagrams that are larger are no messages. */
const MAXIMUM_DATAGRAM_BYTES = 1_024;

/** Where the socket is bound. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** Socket for the datagrams of an `AllowanceExchange`. */
export class AllowanceSocket {
    private socket: Socket;
    private isOpen = true;

    private constructor(
        private readonly address: SocketAddress,
        private readonly onText: (text: string, sourceAddress: string) => void,
        private readonly logger: ProcessLogger,
    ) {
        this.socket = this.open();
    }

    /** @param onText called with each datagram and the address "host:port" that it came from */
    static create(address: SocketAddress, onText: (text: string, sourceAddress: string) => void, logger: ProcessLogger): AllowanceSocket {
        return new AllowanceSocket(address, onText, logger);
    }

    /** Sends a datagram. It may be lost. @param address "host:port" */
    send(address: string, text: string): void {
        const colon = address.lastIndexOf(":");
        if (!this.isOpen) {
            return;
        }
        // An address that cannot be reached is the same as a lost datagram: the request runs into its time limit.
        this.socket.send(text, Number(address.slice(colon + 1)), address.slice(0, colon), () => {});
    }

    private open(): Socket {
        const socket = createSocket("udp4");
        socket.on("message", (datagram, { address, port }) => {
            if (datagram.length <= MAXIMUM_DATAGRAM_BYTES) {
                this.onText(datagram.toString("latin1"), `${address}:${port}`);
            }
        });
        socket.on("error", error => {
            this.logger.error(`the socket for allowances failed; it is opened again in ${BIND_RETRY_MS} ms`, { reason: error.message });
            this.isOpen = false;
            socket.close();
            setTimeout(() => {
                this.socket = this.open();
                this.isOpen = true;
            }, BIND_RETRY_MS).unref();
        });
        socket.bind(this.address.port, this.address.host);
        return socket;
    }
}
