/** Interfaces that a deployment's adapters fulfil. */

import type { CallerMessage, CallerReply } from "./CallerMessage.ts";
import type { InstanceCommand, InstanceReply, InstanceState } from "./InstanceCommand.ts";

/** Decodes a byte stream into messages. */
export interface Decoder<Message> {
    /** @returns the messages that are complete now. @throws PomeloturnError when the peer breaks the protocol */
    push(chunk: Buffer): Message[];
}

/** How a caller is spoken to. */
export interface CallerProtocol {
    createDecoder(): Decoder<CallerMessage>;
    encodeGreeting(): string;
    encodeReply(reply: CallerReply): string;
    /** An error after which the connection is closed. */
    encodeFinalError(code: number, detail: string): string;
}

/** How an instance is spoken to. */
export interface InstanceProtocol {
    /** The decoder's first reply answers the startup. */
    createDecoder(): Decoder<InstanceReply>;
    encodeStartup(service: string, caller: string, instanceId: string): string;
    encodeCommand(command: InstanceCommand): string;
    /** Reads the reply to `Status` or `StepDown`. */
    decodeState(reply: InstanceReply): InstanceState | undefined;
}

/** Outcome of an order to make an instance the primary. */
export const OrderOutcome = {
    Accepted: "accepted",
    /** A higher fence was used, or the instance is not running. */
    Refused: "refused",
    /** Not carried out; may be repeated. */
    Busy: "busy",
    /** May be carried out at any later time. */
    Unknown: "unknown",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Orders promotions. */
export interface Promoter {
    promote(service: string, instanceId: string, holder: string, fence: number): Promise<OrderOutcome>;
}

/** Who may order promotions of a service, as agreed in the platform's store. */
export interface Authority {
    readonly holder: string;
    readonly fence: number;
    /** Version of the row; 0 when there is none yet. */
    readonly version: number;
}

/** The replaced row of a refused change, or the new one. */
export interface AuthorityChange {
    readonly isApplied: boolean;
    readonly authority: Authority;
}

/** The rows that decide who may promote. */
export interface AuthorityStore {
    /** Takes the authority under the next fence unless it has changed. @throws PomeloturnError with `StoreUnavailable` */
    claim(service: string, holder: string, known: Authority): Promise<AuthorityChange>;
}
