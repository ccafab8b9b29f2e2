import type { AnswerPart, ForwardRequest } from "@pomeloturn/types/Request";

/** A request that is queued or running at a holder. */
export interface PendingRequest {
    readonly request: ForwardRequest;
    readonly onPart: (part: AnswerPart) => void;
    /** VM from which the request came. */
    readonly sender: string;
    /** Monotonic time, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Assigned connection; undefined while the request is queued. A later step of a transaction has the transaction's connection. */
    connectionId: number | undefined;
    /** Whether a part of the answer was sent to the sender. */
    isAnswerBegun?: boolean;
    /** Monotonic time at which the request was sent to the instance, in milliseconds; undefined while it is queued. */
    startedAtMs?: number;
    /** Whether the backend server was asked to cancel the request after its deadline. */
    isCanceled?: boolean;
    /** Whether the connection was closed because the request ran past its deadline. */
    isExpired?: boolean;
}

const keyOf = (sender: string, requestId: number): string => `${sender}/${requestId}`;

/** Requests of one holder, indexed by the holder's id and by sender and sender's id. */
export class PendingRequests {
    private readonly entries = new Map<number, PendingRequest>();
    private readonly ids = new Map<string, number>();
    private nextId = 1;

    private constructor() {}

    static create(): PendingRequests {
        return new PendingRequests();
    }

    get isEmpty(): boolean {
        return this.entries.size === 0;
    }

    /** @returns the id that the request has at this holder */
    add(entry: PendingRequest): number {
        const id = this.nextId++;
        this.entries.set(id, entry);
        this.ids.set(keyOf(entry.sender, entry.request.requestId), id);
        return id;
    }

    get(id: number): PendingRequest | undefined {
        return this.entries.get(id);
    }

    /** @returns the holder's id of a request; undefined when it is not pending */
    findId(sender: string, requestId: number): number | undefined {
        return this.ids.get(keyOf(sender, requestId));
    }

    remove(id: number): PendingRequest | undefined {
        const entry = this.entries.get(id);
        if (entry !== undefined) {
            this.entries.delete(id);
            const key = keyOf(entry.sender, entry.request.requestId);
            // A retry with the same sender's id may have replaced the entry.
            if (this.ids.get(key) === id) {
                this.ids.delete(key);
            }
        }
        return entry;
    }

    /** Returns the requests that have a connection. */
    listRunning(): PendingRequest[] {
        return [...this.entries.values()].filter(({ connectionId }) => connectionId !== undefined);
    }
}
