import type { AnswerPart, ForwardRequest } from "@pomeloturn/types/Request";

/** A request that waits or runs at a holder. */
export interface PendingRequest {
    readonly request: ForwardRequest;
    readonly onPart: (part: AnswerPart) => void;
    /** VM that the request came from. */
    readonly sender: string;
    /** Monotonic time, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Undefined until a connection is assigned; that of the transaction for its later steps. */
    connectionId: number | undefined;
    isCanceled?: boolean;
    /** Whether the connection was closed because the deadline had passed. */
    isExpired?: boolean;
}

const keyOf = (sender: string, requestId: number): string => `${sender}/${requestId}`;

/** The requests of one holder, by its own id and by the sender's. */
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

    /** @returns the request's id at this holder */
    add(entry: PendingRequest): number {
        const id = this.nextId++;
        this.entries.set(id, entry);
        this.ids.set(keyOf(entry.sender, entry.request.requestId), id);
        return id;
    }

    get(id: number): PendingRequest | undefined {
        return this.entries.get(id);
    }

    find(sender: string, requestId: number): number | undefined {
        return this.ids.get(keyOf(sender, requestId));
    }

    remove(id: number): PendingRequest | undefined {
        const entry = this.entries.get(id);
        if (entry !== undefined) {
            this.entries.delete(id);
            const key = keyOf(entry.sender, entry.request.requestId);
            // A retry under the same id may be here already.
            if (this.ids.get(key) === id) {
                this.ids.delete(key);
            }
        }
        return entry;
    }

    /** Requests that have a connection. */
    running(): PendingRequest[] {
        return [...this.entries.values()].filter(({ connectionId }) => connectionId !== undefined);
    }
}
