/** Messages between VMs about the allowances of teams, one datagram each: words separated by blanks. */

/** Constants for `AllowanceMessage.kind`; each is the first word of its datagrams. */
export const AllowanceMessageKind = {
    /** Asks for one operation of a seat. */
    Ask: "ask",
    Granted: "granted",
    /** The bucket of the seat is empty. */
    Refused: "refused",
    /** The VM does not hold the seat. To a takeover: it cannot tell whether VMs before it have stopped to grant. */
    NotHolder: "not-holder",
    /** Tells the former holder of a seat that the sender holds it now. */
    Takeover: "takeover",
    /** Confirms a takeover: the former holder, and those before it, grant nothing more of the seat. */
    Yielded: "yielded",
} as const;
export type AllowanceMessageKind = typeof AllowanceMessageKind[keyof typeof AllowanceMessageKind];

/** One message. `number` pairs an answer with its request, in the requesting process. */
export type AllowanceMessage =
    | {
        readonly kind: typeof AllowanceMessageKind.Ask | typeof AllowanceMessageKind.Takeover;
        readonly number: number;
        readonly seat: number;
        readonly team: string;
        /** Name of the VM that sends the message. */
        readonly sender: string;
    }
    | {
        readonly kind: typeof AllowanceMessageKind.Refused;
        readonly number: number;
        /** Time until the bucket has another token. */
        readonly retryAfterMs: number;
    }
    | {
        readonly kind:
            | typeof AllowanceMessageKind.Granted
            | typeof AllowanceMessageKind.NotHolder
            | typeof AllowanceMessageKind.Yielded;
        readonly number: number;
    };

const MAXIMUM_SEAT = 99;

type MessageDecoder = (number: number, fields: readonly string[]) => AllowanceMessage | undefined;

const isCount = (value: number, maximum: number): boolean => Number.isSafeInteger(value) && value >= 0 && value <= maximum;

const createSeatDecoder = (kind: typeof AllowanceMessageKind.Ask | typeof AllowanceMessageKind.Takeover): MessageDecoder =>
(
    number,
    [seatText = "", team = "", sender = ""],
) => {
    const seat = Number(seatText);
    const isValid = seatText !== "" && isCount(seat, MAXIMUM_SEAT) && team !== "" && sender !== "";
    return isValid ? { kind, number, seat, team, sender } : undefined;
};

const createPlainDecoder = (
    kind: typeof AllowanceMessageKind.Granted | typeof AllowanceMessageKind.NotHolder | typeof AllowanceMessageKind.Yielded,
): MessageDecoder =>
number => ({ kind, number });

const decodeRefused: MessageDecoder = (number, [text = ""]) => {
    const retryAfterMs = Number(text);
    return text !== "" && isCount(retryAfterMs, Number.MAX_SAFE_INTEGER)
        ? { kind: AllowanceMessageKind.Refused, number, retryAfterMs }
        : undefined;
};

const decoders: ReadonlyMap<string, MessageDecoder> = new Map([
    [AllowanceMessageKind.Ask, createSeatDecoder(AllowanceMessageKind.Ask)],
    [AllowanceMessageKind.Takeover, createSeatDecoder(AllowanceMessageKind.Takeover)],
    [AllowanceMessageKind.Granted, createPlainDecoder(AllowanceMessageKind.Granted)],
    [AllowanceMessageKind.NotHolder, createPlainDecoder(AllowanceMessageKind.NotHolder)],
    [AllowanceMessageKind.Yielded, createPlainDecoder(AllowanceMessageKind.Yielded)],
    [AllowanceMessageKind.Refused, decodeRefused],
]);

/** Encodes a message. Times are rounded up to whole milliseconds. */
export const encodeAllowanceMessage = (message: AllowanceMessage): string => {
    const head = `${message.kind} ${message.number}`;
    if ("team" in message) {
        return `${head} ${message.seat} ${message.team} ${message.sender}`;
    }
    return "retryAfterMs" in message ? `${head} ${Math.min(Number.MAX_SAFE_INTEGER, Math.ceil(message.retryAfterMs))}` : head;
};

/** Decodes a datagram. @returns undefined if it is not a message */
export const decodeAllowanceMessage = (text: string): AllowanceMessage | undefined => {
    const [kind = "", numberText = "", ...fields] = text.split(" ");
    const number = Number(numberText);
    return numberText !== "" && isCount(number, Number.MAX_SAFE_INTEGER) ? decoders.get(kind)?.(number, fields) : undefined;
};
