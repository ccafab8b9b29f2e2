import type { CallerUse } from "@pomeloturn/caller-limits/CallerLoad";
import type { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CallerMessage } from "@pomeloturn/types/CallerMessage";
import type { BufferedDecoder } from "@pomeloturn/types/Protocols";
import type { Socket } from "node:net";
import type { CallerGuard, GuardedCaller } from "./CallerGuard.ts";

/** Size of waiting messages above which the process stops reading from a caller whose statement runs. */
const MAXIMUM_WAITING_BYTES = 262_144;

/** Copies of a running statement: its text, its command to the instance, and that in the queue of the instance's socket. */
const RUNNING_COPIES = 3;

/** State of the session that the limits depend on. */
export interface InputSession {
    readonly isBusy: boolean;
    readonly isEnded: boolean;
    readonly isStarted: boolean;
    readonly storedBytes: number;
    /** Called when a limit closes the connection. */
    abort(): void;
}

/** Messages of one caller that were received and not answered. Reads from the caller as far as the limits for all callers allow. */
export class CallerInput implements GuardedCaller {
    /** Error in what was received, after all messages before it were taken. */
    error: { readonly code: ResultCode; readonly detail: string; } | undefined;
    private readonly guardId: number;
    private runningBytes = 0;
    /** Whether answers wait until the caller has read earlier ones. */
    private isAwaitingReader = false;

    private constructor(
        private readonly socket: Socket,
        private readonly decoder: BufferedDecoder<CallerMessage>,
        private readonly guard: CallerGuard,
        private readonly session: InputSession,
    ) {
        this.guardId = guard.add(this);
    }

    static create(socket: Socket, decoder: BufferedDecoder<CallerMessage>, guard: CallerGuard, session: InputSession): CallerInput {
        return new CallerInput(socket, decoder, guard, session);
    }

    /** Whether bytes were received that were not taken. */
    get hasBytes(): boolean {
        return this.decoder.hasPartialMessage;
    }

    /** Size of the replies that the caller has not read yet, as far as this process holds them. */
    get unsentBytes(): number {
        return this.socket.destroyed ? 0 : this.socket.writableLength;
    }

    get use(): CallerUse {
        const { decoder, session, unsentBytes, runningBytes } = this;
        return {
            waitingBytes: decoder.heldBytes + unsentBytes,
            runningBytes,
            storedBytes: session.isEnded ? 0 : session.storedBytes,
            isStarted: session.isStarted && !session.isEnded,
            isUnfinished: !session.isBusy && !session.isEnded && this.hasBytes,
            isUnread: unsentBytes > 0,
        };
    }

    /** Adds received bytes, which are dropped after the end of the session. */
    add(chunk: Buffer): void {
        this.guard.recordRead(chunk.length);
        if (!this.session.isEnded && this.error === undefined) {
            this.decoder.add(chunk);
            this.update();
        }
    }

    /** @returns the next message; undefined when none is complete or there is an error */
    take(): CallerMessage | undefined {
        try {
            return this.error === undefined ? this.decoder.take() : undefined;
        }
        catch (error) {
            const code = (error as PomeloturnError).code as ResultCode | undefined;
            this.error = { code: code ?? ResultCode.MalformedMessage, detail: (error as Error).message };
            return undefined;
        }
    }

    /** Takes the next message once the limits allow it to run. `finish` must be called when it is answered. */
    start(): CallerMessage | undefined | Promise<CallerMessage | undefined> {
        const runningBytes = RUNNING_COPIES * (this.decoder.nextMessageBytes ?? 0);
        if (!this.guard.mayStart(runningBytes)) {
            return this.guard.waitForStart().then(() => this.session.isEnded ? undefined : this.start());
        }
        const message = this.take();
        this.setRunningBytes(message === undefined ? 0 : runningBytes);
        return message;
    }

    /** Ends the running of a message, and waits until the caller has read enough of its replies or the connection is closed. */
    async finish(): Promise<void> {
        this.setRunningBytes(0);
        if (this.socket.writableNeedDrain) {
            await this.waitUntilWritable();
        }
    }

    /** Drops what was received. */
    clear(): void {
        this.decoder.clear();
        this.guard.update(this.guardId);
    }

    /** Adapts what the guard knows and the reading to a changed state of the session. */
    update(): void {
        this.guard.update(this.guardId);
        this.updateReading();
    }

    updateReading(): void {
        const { socket, session } = this;
        const isFull = session.isBusy && this.decoder.heldBytes > MAXIMUM_WAITING_BYTES;
        if (!session.isEnded && (isFull || this.isAwaitingReader || !this.guard.mayRead(this.guardId))) {
            socket.pause();
        }
        else {
            socket.resume();
        }
    }

    destroy(): void {
        this.session.abort();
        this.decoder.clear();
    }

    /** Ends the accounting of a closed connection. What its session still runs counts until it has ended. */
    release(): void {
        if (this.socket.destroyed && !this.session.isBusy) {
            this.guard.remove(this.guardId);
        }
    }

    private setRunningBytes(runningBytes: number): void {
        this.runningBytes = runningBytes;
        this.guard.update(this.guardId);
    }

    private async waitUntilWritable(): Promise<void> {
        const { socket } = this;
        this.isAwaitingReader = true;
        this.updateReading();
        await new Promise<void>(resolve => {
            const finish = (): void => {
                socket.off("drain", finish);
                socket.off("close", finish);
                resolve();
            };
            socket.on("drain", finish);
            socket.on("close", finish);
        });
        this.isAwaitingReader = false;
        this.guard.update(this.guardId);
    }
}
