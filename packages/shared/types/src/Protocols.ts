/** Interfaces that the platform adapters of a deployment implement. */

import type { CallerMessage, CallerReply } from "./CallerMessage.ts";
import type { InstanceCommand, InstanceReply, InstanceState } from "./InstanceCommand.ts";

/** Decodes a byte stream into messages. */
export interface Decoder<Message> {
    /**
     * Adds received bytes.
     *
     * @returns the messages that these bytes complete
     * @throws PomeloturnError when the bytes violate the protocol
     */
    push(chunk: Buffer): Message[];
    /** Whether bytes of a message that is not complete have been received. */
    readonly hasPartialMessage: boolean;
}

/** Decodes a byte stream into messages one at a time. What has not been taken is kept as bytes. */
export interface BufferedDecoder<Message> extends Decoder<Message> {
    /** Memory in which received bytes are kept. */
    readonly heldBytes: number;
    /** Size of the next message, if it is complete. */
    readonly nextMessageBytes: number | undefined;
    /** Adds received bytes. */
    add(chunk: Buffer): void;
    /**
     * @returns the next message, if it is complete
     * @throws PomeloturnError when the bytes violate the protocol
     */
    take(): Message | undefined;
    /** Drops all bytes. */
    clear(): void;
}

/** Wire protocol between callers and the proxy. */
export interface CallerProtocol {
    createDecoder(): BufferedDecoder<CallerMessage>;
    encodeGreeting(): string;
    encodeReply(reply: CallerReply): string;
    /** Encodes an error after which the connection is closed. */
    encodeFinalError(code: number, detail: string): string;
}

/** Wire protocol between the proxy and instances. */
export interface InstanceProtocol {
    /** Creates a decoder. Its first reply answers the startup message. */
    createDecoder(): Decoder<InstanceReply>;
    encodeStartup(service: string, caller: string, instanceId: string): string;
    encodeCommand(command: InstanceCommand): string;
    /** Decodes the reply to `Status` or `StepDown`; undefined when the reply contains no state. */
    decodeState(reply: InstanceReply): InstanceState | undefined;
}

/** Outcome of a request to promote an instance to primary. */
export const PromotionOutcome = {
    Accepted: "accepted",
    /** Refused because a higher fence has been used or the instance is not running. */
    Refused: "refused",
    /** Not carried out; may be retried. */
    Busy: "busy",
    /** The promotion may have been carried out, or may still be at any later time. */
    Unknown: "unknown",
} as const;
export type PromotionOutcome = typeof PromotionOutcome[keyof typeof PromotionOutcome];

/** Requests promotions from the platform. */
export interface Promoter {
    promote(service: string, instanceId: string, holder: string, fence: number): Promise<PromotionOutcome>;
}

/** Row of the platform's store that says who may request promotions of a service. */
export interface Authority {
    readonly holder: string;
    readonly fence: number;
    /** Era of the store in which the row was read or written. */
    readonly era: number;
    /** Version of the row; 0 when the row does not exist yet. */
    readonly version: number;
}

/** Outcome of a claim: the new row when it was applied, else the row that stands in the store. */
export interface AuthorityChange {
    readonly isApplied: boolean;
    readonly authority: Authority;
}

/** The instances that the store lists at one time. */
export interface Listing {
    /** Era of the store. */
    readonly era: number;
    readonly instances: readonly { readonly id: string; readonly service: string; readonly isPrimary: boolean; }[];
}

/** Access to the authority rows in the platform's store. */
export interface AuthorityStore {
    /**
     * Claims the authority for `holder` with a fence, provided that the row is still as in `known` and the store in the same era.
     *
     * @throws PomeloturnError with code `StoreUnavailable` when the store does not answer
     */
    claim(service: string, holder: string, fence: number, known: Authority): Promise<AuthorityChange>;

    /**
     * Reads the listing of all instances at the store itself.
     *
     * @throws PomeloturnError with code `StoreUnavailable` when the store does not answer
     */
    readListing(): Promise<Listing>;
}
