import { type AllowanceBucket, createBucket, takeToken } from "@pomeloturn/team-allowance/AllowanceBucket";
import type { SeatLimits } from "@pomeloturn/team-allowance/computeSeatLimits";

/** Time after which a takeover counts no more although the VM that took over is not listed: it has left since. */
const TAKEOVER_LIFETIME_MS = 30_000;

/** A seat that this VM holds by its list of VMs. */
export interface HeldSeat {
    readonly team: string;
    readonly seat: number;
    /** VM that held the seat if this VM is new; undefined when there is none. */
    readonly former: string | undefined;
}

interface SeatState extends HeldSeat {
    readonly bucket: AllowanceBucket;
    /** Whether the former holder grants nothing any more. */
    isConfirmed: boolean;
    /** Monotonic time from which the seat counts as confirmed without a word of the former holder, in milliseconds. */
    readonly confirmedAtMs: number;
}

/** Answer to the request for one operation of a seat. */
export type SeatAnswer =
    | { readonly kind: "granted"; readonly waitMs: number; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; }
    | { readonly kind: "not-holder"; };

const NOT_HOLDER: SeatAnswer = { kind: "not-holder" };

const createKey = (team: string, seat: number): string => `${seat} ${team}`;

/** The seats that this VM holds, with their buckets. */
export class HeldSeats {
    private readonly seats = new Map<string, SeatState>();
    /** Seats that another VM has taken over although this VM does not list it yet. */
    private readonly takenOver = new Map<string, { readonly by: string; readonly untilMs: number; }>();

    private constructor(private readonly confirmationTimeoutMs: number) {}

    /** @param confirmationTimeoutMs time after which a former holder that does not answer counts as gone */
    static create(confirmationTimeoutMs: number): HeldSeats {
        return new HeldSeats(confirmationTimeoutMs);
    }

    get count(): number {
        return this.seats.size;
    }

    /**
     * Replaces the seats with those that this VM holds by its new list of VMs. A new seat starts with an empty bucket, as the
     * former holder may just have granted all that its bucket held.
     *
     * @param listed names of the listed VMs
     */
    replace(held: readonly HeldSeat[], listed: ReadonlySet<string>, nowMs: number): void {
        for (const [key, { by, untilMs }] of this.takenOver) {
            if (listed.has(by) || nowMs >= untilMs) {
                this.takenOver.delete(key);
            }
        }
        const keys = new Set(held.map(({ team, seat }) => createKey(team, seat)));
        [...this.seats.keys()].filter(key => !keys.has(key)).forEach(key => this.seats.delete(key));
        for (const each of held) {
            const key = createKey(each.team, each.seat);
            if (!this.seats.has(key)) {
                const isConfirmed = each.former === undefined;
                const confirmedAtMs = nowMs + this.confirmationTimeoutMs;
                this.seats.set(key, { ...each, bucket: createBucket(0, nowMs), isConfirmed, confirmedAtMs });
            }
        }
    }

    /** Grants nothing more. */
    clear(): void {
        this.seats.clear();
    }

    /** Lists the seats whose former holder has to be told that this VM holds them now. */
    listUnconfirmed(nowMs: number): readonly HeldSeat[] {
        return [...this.seats.values()].filter(({ isConfirmed, confirmedAtMs }) => !isConfirmed && nowMs < confirmedAtMs);
    }

    /** Records that the former holder of a seat grants nothing more. */
    confirm(team: string, seat: number): void {
        const state = this.seats.get(createKey(team, seat));
        if (state !== undefined) {
            state.isConfirmed = true;
        }
    }

    /** Gives a seat up to a VM that holds it by a newer list of VMs. */
    yieldTo(vm: string, team: string, seat: number, nowMs: number): void {
        const key = createKey(team, seat);
        if (this.seats.has(key)) {
            this.takenOver.set(key, { by: vm, untilMs: nowMs + TAKEOVER_LIFETIME_MS });
        }
    }

    /**
     * Takes one operation from a seat.
     *
     * @param limits limits of the seat's bucket in the active configuration
     * @param maximumWaitMs longest time for which the operation may wait, in milliseconds
     */
    take(team: string, seat: number, limits: SeatLimits, maximumWaitMs: number, nowMs: number): SeatAnswer {
        const key = createKey(team, seat);
        const state = this.seats.get(key);
        const takeover = this.takenOver.get(key);
        if (state === undefined || (takeover !== undefined && nowMs < takeover.untilMs)) {
            return NOT_HOLDER;
        }
        if (!state.isConfirmed && nowMs < state.confirmedAtMs) {
            return NOT_HOLDER;
        }
        const decision = takeToken(state.bucket, limits, maximumWaitMs, nowMs);
        return decision.isGranted ? { kind: "granted", waitMs: decision.waitMs } : { kind: "refused", retryAfterMs: decision.retryAfterMs };
    }
}
