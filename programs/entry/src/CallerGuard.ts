import type { CallerLimits } from "@pomeloturn/caller-limits/CallerLimits";
import {
    addCaller,
    type CallerClosure,
    CallerLimit,
    type CallerLoad,
    type CallerUse,
    chooseOverload,
    createCallerLoad,
    decideAccept,
    findExpired,
    mayRead,
    mayStart,
    recordRead,
    recordUse,
    removeCaller,
    takeResumed,
} from "@pomeloturn/caller-limits/CallerLoad";

/** Interval at which paused callers are resumed. */
const TICK_MS = 50;
/** Interval of the search for callers that have taken too long. */
const EXPIRY_CHECK_MS = 250;

/** Connection of a caller, as far as its limits are concerned. */
export interface GuardedCaller {
    /** What the process holds for the caller now. */
    readonly use: CallerUse;
    /** Pauses or resumes reading from the caller, as the limits allow. */
    updateReading(): void;
    /** Closes the connection at once and drops what is held for it. */
    destroy(): void;
}

/** Dependencies of `CallerGuard`. */
export interface CallerGuardOptions {
    readonly limits: CallerLimits;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Frees the memory of buffers that are no longer used. */
    readonly collectGarbage: () => void;
    /** Called for each caller that is refused or closed at a limit. */
    readonly onLimited: (limit: CallerLimit, use: CallerUse | undefined) => void;
}

/** Applies the limits for all callers of the process together. */
export class CallerGuard {
    private readonly load: CallerLoad;
    private readonly callers = new Map<number, GuardedCaller>();
    private nextId = 0;
    private checkedAtMs = 0;
    /** Sessions that wait to start a large statement. */
    private readonly waitingStarts: (() => void)[] = [];

    private constructor(private readonly options: CallerGuardOptions) {
        this.load = createCallerLoad(options.limits);
        setInterval(() => this.tick(), TICK_MS).unref();
    }

    static create(options: CallerGuardOptions): CallerGuard {
        return new CallerGuard(options);
    }

    /** Decides whether a new connection is accepted, and closes another one for it if need be. */
    tryAccept(): boolean {
        const { isAccepted, closedId } = decideAccept(this.load, this.options.nowMs());
        if (closedId !== undefined) {
            this.close({ id: closedId, limit: CallerLimit.Connections });
            this.remove(closedId);
        }
        if (!isAccepted) {
            this.options.onLimited(CallerLimit.Connections, undefined);
        }
        return isAccepted;
    }

    /** @returns the id of the caller for the other methods */
    add(caller: GuardedCaller): number {
        const id = this.nextId++;
        this.callers.set(id, caller);
        addCaller(this.load, id, this.options.nowMs());
        return id;
    }

    remove(id: number): void {
        this.callers.delete(id);
        removeCaller(this.load, id);
        this.wakeStarts();
    }

    /** Records what is held for a caller now, and closes the largest holders while that is too much. */
    update(id: number): void {
        this.record(id);
        for (let closure = chooseOverload(this.load); closure !== undefined; closure = chooseOverload(this.load)) {
            this.close(closure);
            this.record(closure.id);
        }
    }

    recordRead(readBytes: number): void {
        if (recordRead(this.load, readBytes)) {
            this.options.collectGarbage();
        }
    }

    mayRead(id: number): boolean {
        return mayRead(this.load, id);
    }

    mayStart(runningBytes: number): boolean {
        return mayStart(this.load, runningBytes);
    }

    /** Resolves when less is running. */
    waitForStart(): Promise<void> {
        return new Promise(resolve => this.waitingStarts.push(resolve));
    }

    private record(id: number): void {
        const caller = this.callers.get(id);
        if (caller !== undefined) {
            const { runningBytes } = this.load;
            recordUse(this.load, id, caller.use, this.options.nowMs());
            if (this.load.runningBytes < runningBytes) {
                this.wakeStarts();
            }
        }
    }

    private close({ id, limit }: CallerClosure): void {
        const caller = this.callers.get(id);
        if (caller !== undefined) {
            this.options.onLimited(limit, caller.use);
            caller.destroy();
        }
    }

    private wakeStarts(): void {
        this.waitingStarts.splice(0).forEach(resolve => resolve());
    }

    private tick(): void {
        takeResumed(this.load).forEach(id => this.callers.get(id)?.updateReading());
        const nowMs = this.options.nowMs();
        if (nowMs - this.checkedAtMs >= EXPIRY_CHECK_MS) {
            this.checkedAtMs = nowMs;
            this.wakeStarts();
            [...this.callers.keys()].forEach(id => this.record(id));
            findExpired(this.load, nowMs).forEach(closure => this.close(closure));
        }
    }
}
