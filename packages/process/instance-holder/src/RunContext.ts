import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ForwardRequest } from "@pomeloturn/types/Request";
import type { AnswerRelay } from "./AnswerRelay.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";

/** Handles the backend server's messages of one round trip. */
export interface RoundTripHandler {
    /** @param step index of the ReadyForQuery message that ends the part to which the message belongs */
    onMessage(message: Buffer, step: number): void;
    /** Called after the last ReadyForQuery message. */
    onDone(): void;
}

/** State and operations that are shared by the round trips of a request. */
export interface RunContext {
    readonly request: ForwardRequest;
    readonly environment: InstanceEnvironment;
    readonly relay: AnswerRelay;
    /** Sends queries in one write. @param stepCount number of ReadyForQuery messages that answer them */
    send(queries: readonly Buffer[], stepCount: number, handler: RoundTripHandler): void;
    /** Ends the run with the buffered answer. @param position written position; 0 for none */
    finish(position: number): void;
    /** Ends the run with a result code. */
    fail(code: ResultCode): void;
}
