import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

const HOST = "127.0.0.1";
/** Connections opened at a time, so that the listener's backlog does not overflow. */
const OPENED_TOGETHER = 50;
const OPEN_PAUSE_MS = 5;

/** What one caller of a crowd sends. */
export interface CrowdCaller {
    /** Sent in this order, each after the process has taken the one before from the socket's buffer. */
    readonly pieces: readonly Buffer[];
    /** Time between two pieces, in milliseconds. */
    readonly pieceIntervalMs?: number;
    /** Whether the caller reads what it is sent. */
    readonly isReading?: boolean;
}

/** Splits a message into pieces of one size. */
export const splitIntoPieces = (message: Buffer, pieceBytes: number): Buffer[] =>
    Array.from(
        { length: Math.ceil(message.length / pieceBytes) },
        (_each, index) => message.subarray(index * pieceBytes, (index + 1) * pieceBytes),
    );

/** Many connections of callers that ignore refusals, errors and closed connections. */
export class CallerCrowd {
    private readonly sockets: Socket[] = [];
    private isClosed = false;

    private constructor(private readonly port: number) {}

    static create(port: number): CallerCrowd {
        return new CallerCrowd(port);
    }

    /** Opens the connections and sends on all of them at once until all is sent, the connections have ended or the time is over. */
    async send(callers: readonly CrowdCaller[], limitMs: number): Promise<void> {
        const sending: Promise<void>[] = [];
        for (const [index, caller] of callers.entries()) {
            sending.push(this.sendAll(caller));
            if (index % OPENED_TOGETHER === OPENED_TOGETHER - 1) {
                await delay(OPEN_PAUSE_MS);
            }
        }
        await Promise.race([Promise.all(sending), delay(limitMs)]);
    }

    close(): void {
        this.isClosed = true;
        this.sockets.forEach(socket => socket.destroy());
    }

    private async sendAll({ pieces, pieceIntervalMs = 0, isReading = true }: CrowdCaller): Promise<void> {
        const socket = connect({ host: HOST, port: this.port, noDelay: true });
        this.sockets.push(socket);
        socket.on("error", () => socket.destroy());
        if (isReading) {
            socket.on("data", () => undefined);
            socket.on("end", () => socket.destroy());
        }
        for (const piece of pieces) {
            if (this.isClosed || socket.destroyed) {
                return;
            }
            await new Promise<void>(resolve => socket.write(piece, () => resolve()));
            if (pieceIntervalMs > 0) {
                await delay(pieceIntervalMs);
            }
        }
    }
}
