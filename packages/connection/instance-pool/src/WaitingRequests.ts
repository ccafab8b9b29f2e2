import type { ConnectionLease } from "./ConnectionLease.ts";

/** Request that waits for a connection. */
export interface WaitingRequest {
    readonly rank: number;
    /** Identity that the connection must have been opened under. */
    readonly identity: string;
    readonly resolve: (lease: ConnectionLease | undefined) => void;
}

/** Requests that wait for a connection to one instance: the most urgent rank first, then the oldest first. */
export class WaitingRequests {
    private readonly requests: WaitingRequest[] = [];

    private constructor() {}

    static create(): WaitingRequests {
        return new WaitingRequests();
    }

    get count(): number {
        return this.requests.length;
    }

    add(request: WaitingRequest): void {
        const index = this.requests.findIndex(({ rank }) => rank > request.rank);
        this.requests.splice(index < 0 ? this.requests.length : index, 0, request);
    }

    /** @returns whether the request was waiting */
    remove(request: WaitingRequest): boolean {
        const index = this.requests.indexOf(request);
        if (index >= 0) {
            this.requests.splice(index, 1);
        }
        return index >= 0;
    }

    removeAll(): readonly WaitingRequest[] {
        return this.requests.splice(0);
    }

    /** Number of requests of this rank or a more urgent one. */
    countUpTo(rank: number): number {
        return this.requests.filter(request => request.rank <= rank).length;
    }

    /**
     * Removes the request that a free connection goes to: the first one of its identity, unless a more urgent one of another
     * identity waits for a connection of its own.
     *
     * @param isAssignable whether requests of a rank may use the connection
     */
    takeNext(identity: string, isAssignable: (rank: number) => boolean): WaitingRequest | undefined {
        const first = this.requests.find(({ rank }) => isAssignable(rank));
        const next = this.requests.find(request => request.identity === identity && isAssignable(request.rank));
        if (next === undefined || next.rank !== first?.rank) {
            return undefined;
        }
        this.remove(next);
        return next;
    }

    /** Lists the identities of the requests for which no connection is being opened, in the order of the queue. */
    listUnmetIdentities(openingIdentities: readonly string[]): string[] {
        const opening = [...openingIdentities];
        return this.requests.map(({ identity }) => identity).filter(identity => {
            const index = opening.indexOf(identity);
            if (index >= 0) {
                opening.splice(index, 1);
            }
            return index < 0;
        });
    }
}
