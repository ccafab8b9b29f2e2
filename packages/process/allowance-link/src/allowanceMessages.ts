/** Messages between VMs about the allowances of teams, one datagram each: words separated by blanks. */

/** Constants for `AllowanceMessage.kind`; each is the first word of its datagrams. */
export const AllowanceMessageKind = {
    /** Asks for one operation of a seat. */
    Ask: "ask",
    Granted: "granted",
    /** The bucket of the seat is empty. */
    Refused: "refused",
    /** The VM does not hold the seat. */
    NotHolder: "not-holder",
    /** Tells the former holder of a seat that the sender holds it now. */
    Takeover: "takeover",
    /** Confirms a takeover: the former holder grants nothing more of the seat. */
    Yielded: "yielded",
} as const;
export type AllowanceMessageKind = typeof AllowanceMessageKind[keyof typeof AllowanceMessageKind];

/** One message. `number` pairs an answer with its request, in the requesting process. */
export type AllowanceMessage =
    | {
        readonly kind: typeof AllowanceMessageKind.Ask;
        readonly number: number;
        readonly seat: number;
        readonly team: string;
        /** Longest time for which the operation may wait for its token. */
        readonly maximumWaitMs: number;
    }
    | {
        readonly kind: typeof AllowanceMessageKind.Takeover;
        readonly number: number;
        readonly seat: number;
        readonly team: string;
        /** Name of the VM that sends the message. */
        readonly sender: string;
    }
    | {
        readonly kind: typeof AllowanceMessageKind.Granted;
        readonly number: number;
        /** Time until the operation may be sent. */
        readonly waitMs: number;
    }
    | {
        readonly kind: typeof AllowanceMessageKind.Refused;
        readonly number: number;
        /** Time until the bucket has another token. */
        readonly retryAfterMs: number;
    }
    | {
        readonly kind: typeof AllowanceMessageKind.NotHolder | typeof AllowanceMessageKind.Yielded;
        readonly number: number;
    };

const MAXIMUM_SEAT = 99;

type MessageDecoder = (number: number, fields: readonly string[]) => AllowanceMessage | undefined;

const isCount = (value: number, maximum: number): boolean => Number.isSafeInteger(value) && value >= 0 && value <= maximum;

/** Decodes a whole number of milliseconds. @returns undefined if the field is none */
const decodeTime = (text: string | undefined): number | undefined =>
    text !== undefined && text !== "" && isCount(Number(text), Number.MAX_SAFE_INTEGER) ? Number(text) : undefined;

const decodeSeat = (text: string | undefined): number | undefined => {
    const seat = decodeTime(text);
    return seat === undefined || seat > MAXIMUM_SEAT ? undefined : seat;
};

const decodeAsk: MessageDecoder = (number, [seatText, team = "", waitText]) => {
    const seat = decodeSeat(seatText);
    const maximumWaitMs = decodeTime(waitText);
    return seat === undefined || team === "" || maximumWaitMs === undefined
        ? undefined
        : { kind: AllowanceMessageKind.Ask, number, seat, team, maximumWaitMs };
};

const decodeTakeover: MessageDecoder = (number, [seatText, team = "", sender = ""]) => {
    const seat = decodeSeat(seatText);
    return seat === undefined || team === "" || sender === ""
        ? undefined
        : { kind: AllowanceMessageKind.Takeover, number, seat, team, sender };
};

const decodeGranted: MessageDecoder = (number, [text]) => {
    const waitMs = decodeTime(text);
    return waitMs === undefined ? undefined : { kind: AllowanceMessageKind.Granted, number, waitMs };
};

const decodeRefused: MessageDecoder = (number, [text]) => {
    const retryAfterMs = decodeTime(text);
    return retryAfterMs === undefined ? undefined : { kind: AllowanceMessageKind.Refused, number, retryAfterMs };
};

const decoders: ReadonlyMap<string, MessageDecoder> = new Map([
    [AllowanceMessageKind.Ask, decodeAsk],
    [AllowanceMessageKind.Takeover, decodeTakeover],
    [AllowanceMessageKind.Granted, decodeGranted],
    [AllowanceMessageKind.NotHolder, number => ({ kind: AllowanceMessageKind.NotHolder, number })],
    [AllowanceMessageKind.Yielded, number => ({ kind: AllowanceMessageKind.Yielded, number })],
    [AllowanceMessageKind.Refused, decodeRefused],
]);

const encodeTime = (timeMs: number): string => String(Math.min(Number.MAX_SAFE_INTEGER, Math.ceil(timeMs)));

type FieldEncoders = {
    readonly [Kind in AllowanceMessageKind]: (message: Extract<AllowanceMessage, { kind: Kind; }>) => readonly (string | number)[];
};

const fieldEncoders: FieldEncoders = {
    [AllowanceMessageKind.Ask]: ({ seat, team, maximumWaitMs }) => [seat, team, encodeTime(maximumWaitMs)],
    [AllowanceMessageKind.Takeover]: ({ seat, team, sender }) => [seat, team, sender],
    [AllowanceMessageKind.Granted]: ({ waitMs }) => [encodeTime(waitMs)],
    [AllowanceMessageKind.Refused]: ({ retryAfterMs }) => [encodeTime(retryAfterMs)],
    [AllowanceMessageKind.NotHolder]: () => [],
    [AllowanceMessageKind.Yielded]: () => [],
};

/** Encodes a message. Times are rounded up to whole milliseconds. */
export const encodeAllowanceMessage = (message: AllowanceMessage): string => {
    const encodeFields = fieldEncoders[message.kind] as (value: AllowanceMessage) => readonly (string | number)[];
    return [message.kind, message.number, ...encodeFields(message)].join(" ");
};

/** Decodes a datagram. @returns undefined if it is not a message */
export const decodeAllowanceMessage = (text: string): AllowanceMessage | undefined => {
    const [kind = "", numberText = "", ...fields] = text.split(" ");
    const number = Number(numberText);
    return numberText !== "" && isCount(number, Number.MAX_SAFE_INTEGER) ? decoders.get(kind)?.(number, fields) : undefined;
};
