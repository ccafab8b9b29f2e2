import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ForwardRequest } from "@pomeloturn/types/Request";
import type { AnswerRelay } from "./AnswerRelay.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";

/** Reads the answers of one round trip. */
export interface RoundAnswer {
    /** @param step index of the ReadyForQuery that closes the part the message belongs to */
    onMessage(message: Buffer, step: number): void;
    onDone(): void;
}

/** What the round trips of a request share. */
export interface RunContext {
    readonly request: ForwardRequest;
    readonly environment: InstanceEnvironment;
    readonly relay: AnswerRelay;
    /** Sends queries in one piece; each ends in one ReadyForQuery, the caller's messages in `mainStepCount` ones. */
    send(queries: readonly Buffer[], stepCount: number, answer: RoundAnswer): void;
    /** Ends the run with the collected answer. @param position written position, 0 for none */
    finish(position: number): void;
    /** Ends the run with a numbered result. */
    fail(code: ResultCode): void;
}
