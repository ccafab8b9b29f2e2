import { type AllowanceBucket, createBucket, takeToken } from "@pomeloturn/team-allowance/AllowanceBucket";
import type { SeatLimits } from "@pomeloturn/team-allowance/computeSeatLimits";

/** Time after which a takeover counts no more although the VM that took over is not listed: it has left since. */
const TAKEOVER_LIFETIME_MS = 30_000;

/** A seat of a team. */
export interface HeldSeat {
    readonly team: string;
    readonly seat: number;
    /**
     * Whether this VM holds the seat by its list of VMs. False where a VM holds it that has registered later, while former holders
     * have not answered this VM.
     */
    readonly isHeld: boolean;
    /** VMs that may still grant operations of the seat until they learn that this VM holds it. */
    readonly formers: readonly string[];
}

/** Finds the VM that held a seat before this VM, apart from VMs that cannot answer for it. */
export type FindFormer = (team: string, seat: number, passed: readonly string[]) => string | undefined;

interface SeatState extends HeldSeat {
    /** Former holders that have left or have lost their state. */
    passed: readonly string[];
    isHeld: boolean;
    formers: readonly string[];
    /** Empty at the time from which no other VM grants operations of the seat. */
    bucket: AllowanceBucket;
    /** Monotonic time from which the seat counts as confirmed without an answer of former holders, in milliseconds. */
    readonly confirmedAtMs: number;
}

/** Answer to the request for one operation of a seat. */
export type SeatAnswer =
    | { readonly kind: "granted"; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; }
    | { readonly kind: "not-holder"; };

const NOT_HOLDER: SeatAnswer = { kind: "not-holder" };

const createKey = (team: string, seat: number): string => `${seat} ${team}`;

/** Whether former holders of a seat may still grant operations of it. */
const isAwaited = ({ formers, confirmedAtMs }: SeatState, nowMs: number): boolean => formers.length > 0 && nowMs < confirmedAtMs;

/** The seats that this VM holds, with their buckets. */
export class HeldSeats {
    private readonly seats = new Map<string, SeatState>();
    /** Seats that another VM has taken over although this VM does not list it yet. */
    private readonly takenOver = new Map<string, { readonly by: string; readonly untilMs: number; }>();

    private listed: ReadonlySet<string> = new Set();

    private constructor(private readonly confirmationTimeoutMs: number, private readonly findFormer: FindFormer) {}

    /** @param confirmationTimeoutMs time after which a former holder that does not answer counts as gone */
    static create(confirmationTimeoutMs: number, findFormer: FindFormer): HeldSeats {
        return new HeldSeats(confirmationTimeoutMs, findFormer);
    }

    get count(): number {
        return [...this.seats.values()].filter(({ isHeld }) => isHeld).length;
    }

    /**
     * Replaces the seats with those of this VM's new list of VMs. A new seat starts with an empty bucket when its former holders
     * have stopped, as they may just have granted all that their buckets held.
     *
     * @param listed names of the listed VMs
     */
    replace(seats: readonly HeldSeat[], listed: ReadonlySet<string>, nowMs: number): void {
        const held = new Set(seats.filter(({ isHeld }) => isHeld).map(({ team, seat }) => createKey(team, seat)));
        this.endTakeovers(held, listed);
        this.listed = listed;
        this.dropSeats(key => held.has(key), nowMs);
        seats.forEach(each => this.addSeat(each, nowMs));
        // A VM deletes its registration after it has stopped to grant. Holders before it may not have answered it.
        this.seats.forEach(state => state.formers.filter(former => !listed.has(former)).forEach(former => this.pass(state, former, nowMs)));
    }

    /** Keeps what former holders have still to be told of seats that other VMs hold now, as those rely on it. */
    private dropSeats(isHeld: (key: string) => boolean, nowMs: number): void {
        for (const [key, state] of this.seats) {
            state.isHeld &&= isHeld(key);
            if (!state.isHeld && !isAwaited(state, nowMs)) {
                this.seats.delete(key);
            }
        }
    }

    private addSeat(seat: HeldSeat, nowMs: number): void {
        const key = createKey(seat.team, seat.seat);
        const known = this.seats.get(key);
        const isNew = known === undefined ? seat.isHeld || seat.formers.length > 0 : seat.isHeld && !known.isHeld;
        if (isNew) {
            const formers = [...new Set([...known?.formers ?? [], ...seat.formers])];
            const confirmedAtMs = nowMs + (formers.length === 0 ? 0 : this.confirmationTimeoutMs);
            this.seats.set(key, { ...seat, formers, passed: [], bucket: createBucket(0, confirmedAtMs), confirmedAtMs });
        }
    }

    /** Forgets takeovers that are too old. Must be called regularly. */
    expire(nowMs: number): void {
        [...this.takenOver].filter(([, { untilMs }]) => nowMs >= untilMs).forEach(([key]) => this.takenOver.delete(key));
    }

    /** Forgets takeovers that the list of VMs shows too, and those by VMs that have left. */
    private endTakeovers(held: ReadonlySet<string>, listed: ReadonlySet<string>): void {
        for (const [key, { by }] of this.takenOver) {
            const hasLeft = this.listed.has(by) && !listed.has(by);
            if (hasLeft || (listed.has(by) && !held.has(key))) {
                this.takenOver.delete(key);
            }
        }
    }

    /** Grants nothing more. */
    clear(nowMs: number): void {
        this.dropSeats(() => false, nowMs);
    }

    /** Lists the seats of which former holders have to be told that this VM holds them now. */
    listUnconfirmed(nowMs: number): readonly HeldSeat[] {
        return [...this.seats.values()].filter(state => isAwaited(state, nowMs));
    }

    /** Records that a former holder of a seat, and those before it, grant nothing more. */
    confirm(team: string, seat: number, former: string, nowMs: number): void {
        const state = this.seats.get(createKey(team, seat));
        if (state !== undefined) {
            this.setFormers(state, state.formers.filter(each => each !== former), nowMs);
        }
    }

    /** Records that a former holder of a seat grants nothing, but cannot tell whether those before it do. */
    confirmOnly(team: string, seat: number, former: string, nowMs: number): void {
        const state = this.seats.get(createKey(team, seat));
        if (state?.formers.includes(former) === true) {
            this.pass(state, former, nowMs);
        }
    }

    /**
     * Gives a seat up to a VM that holds it by a newer list of VMs. This VM may not hold the seat yet: an older list that is
     * still to come could make it the holder.
     *
     * @returns whether no former holder of this VM may still grant operations of the seat either
     */
    yieldTo(vm: string, team: string, seat: number, nowMs: number): boolean {
        const key = createKey(team, seat);
        const state = this.seats.get(key);
        // A listed VM can hold the seat by a newer list too, because the holder of another seat has changed.
        if (!this.listed.has(vm) || state?.isHeld === true) {
            this.takenOver.set(key, { by: vm, untilMs: nowMs + TAKEOVER_LIFETIME_MS });
        }
        return state === undefined || !isAwaited(state, nowMs);
    }

    private pass(state: SeatState, passedFormer: string, nowMs: number): void {
        state.passed = [...state.passed, passedFormer];
        const before = this.findFormer(state.team, state.seat, state.passed);
        const others = state.formers.filter(each => each !== passedFormer);
        this.setFormers(state, before === undefined || others.includes(before) ? others : [...others, before], nowMs);
    }

    private setFormers(state: SeatState, formers: readonly string[], nowMs: number): void {
        if (formers.length === 0 && isAwaited(state, nowMs)) {
            state.bucket = createBucket(0, nowMs);
        }
        state.formers = formers;
    }

    /** Takes one operation from a seat. @param limits limits of the seat's bucket in the active configuration */
    take(team: string, seat: number, limits: SeatLimits, nowMs: number): SeatAnswer {
        const key = createKey(team, seat);
        const state = this.seats.get(key);
        const takeover = this.takenOver.get(key);
        if (state?.isHeld !== true || (takeover !== undefined && nowMs < takeover.untilMs)) {
            return NOT_HOLDER;
        }
        if (isAwaited(state, nowMs)) {
            return NOT_HOLDER;
        }
        const decision = takeToken(state.bucket, limits, nowMs);
        return decision.isGranted ? { kind: "granted" } : { kind: "refused", retryAfterMs: decision.retryAfterMs };
    }
}
