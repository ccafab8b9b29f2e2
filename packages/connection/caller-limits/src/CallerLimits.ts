/** Limits for all callers of a process together, and times for each of them. */
export interface CallerLimits {
    /** All bytes that the process holds for its callers. */
    readonly heldBytes: number;
    /** Open connections of callers. */
    readonly connections: number;
    /** Time for the rest of a message whose first byte was received. */
    readonly unfinishedMessageMs: number;
    /** Time for a caller to read answers that the kernel does not take any more. */
    readonly unreadAnswersMs: number;
}

/** Limits that settings state. */
export type ChosenLimits = { readonly [Name in keyof CallerLimits]?: number | undefined; };

/** What the limits derive from. */
export interface MachineResources {
    readonly memoryMb: number;
    /** Descriptors that the process may open. */
    readonly descriptors: number;
}

const BYTES_PER_MB = 1_048_576;
/**
 * Share of the memory for what is held for callers. Garbage that is not collected yet and copies in the kernel's queue take about as
 * much again; Node.js with its code takes 75 MB of a machine with 202 MB.
 */
const HELD_SHARE = 0.1;
/** With less, a single message of 1 MiB could not be run. */
const MINIMUM_HELD_BYTES = 8 * BYTES_PER_MB;

/** Descriptors that are not for connections. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors for callers. The rest is for connections to instances, the store and other VMs. */
const CONNECTION_SHARE = 0.75;
const MINIMUM_CONNECTIONS = 16;

/** A message of 1 MiB takes 1.2 s on a link of 7 Mbit/s that it has for itself. */
const UNFINISHED_MESSAGE_MS = 15_000;
const UNREAD_ANSWERS_MS = 30_000;

/** @param settings limits that take the place of the derived ones */
export const deriveCallerLimits = ({ memoryMb, descriptors }: MachineResources, settings: ChosenLimits = {}): CallerLimits => ({
    heldBytes: settings.heldBytes ?? Math.max(MINIMUM_HELD_BYTES, Math.floor(HELD_SHARE * memoryMb * BYTES_PER_MB)),
    connections: settings.connections
        ?? Math.max(MINIMUM_CONNECTIONS, Math.floor(CONNECTION_SHARE * (descriptors - RESERVED_DESCRIPTORS))),
    unfinishedMessageMs: settings.unfinishedMessageMs ?? UNFINISHED_MESSAGE_MS,
    unreadAnswersMs: settings.unreadAnswersMs ?? UNREAD_ANSWERS_MS,
});
