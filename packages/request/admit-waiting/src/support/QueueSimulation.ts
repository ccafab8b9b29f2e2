import { type ConnectionUse, createConnectionUse, recordUse, recordUseStart } from "../ConnectionUse.ts";
import { decideAdmission, estimateWaitMs } from "../decideAdmission.ts";

/** A load of one VM on one instance. Times are virtual milliseconds. */
export interface ReplayedLoad {
    readonly lengthMs: number;
    /** Number of connections, each of which runs one request at a time. */
    readonly connectionCount: number;
    /** Arrivals by rank: the rate, and the factor in each burst. */
    readonly arrivals: readonly {
        readonly rank: number;
        readonly perSecond: number;
        readonly useMs: number;
        readonly limitMs: number;
        readonly bursts: readonly { readonly fromMs: number; readonly toMs: number; readonly factor: number; }[];
    }[];
    /** Times in which no connection serves anything, as when the instance is dead. */
    readonly outages: readonly { readonly fromMs: number; readonly toMs: number; }[];
}

/** What became of one request. */
export interface ReplayedRequest {
    readonly rank: number;
    readonly arrivedAtMs: number;
    readonly useMs: number;
    readonly limitMs: number;
    startedAtMs: number | undefined;
    refusedAtMs: number | undefined;
    retryAfterMs: number | undefined;
}

interface RunningRequest {
    readonly request: ReplayedRequest;
    readonly endsAtMs: number;
}

const STEP_MS = 1;

/** Virtual queue of one VM for one instance. Requests are served by rank, oldest first. */
class QueueSimulation {
    readonly requests: ReplayedRequest[] = [];
    private readonly use: ConnectionUse = createConnectionUse();
    private running: RunningRequest[] = [];
    private waiting: ReplayedRequest[] = [];
    private sequence = 0;

    constructor(private readonly connectionCount: number, private readonly isDecided: boolean) {}

    arrive(rank: number, useMs: number, limitMs: number, nowMs: number): void {
        const outcome = { startedAtMs: undefined, refusedAtMs: undefined, retryAfterMs: undefined };
        const request: ReplayedRequest = { rank, arrivedAtMs: nowMs, useMs, limitMs, ...outcome };
        this.requests.push(request);
        const queue = {
            use: this.use,
            aheadCount: this.waiting.filter(other => other.rank <= rank).length,
            connectionCount: this.connectionCount,
            freeCount: this.connectionCount - this.running.length,
        };
        // A low-discrepancy sequence takes the place of random numbers.
        const admission = decideAdmission(estimateWaitMs(queue, rank, nowMs), limitMs, (this.sequence++ * 0.618) % 1);
        if (admission.isAdmitted || !this.isDecided) {
            this.waiting.push(request);
        }
        else {
            Object.assign(request, { refusedAtMs: nowMs, retryAfterMs: admission.retryAfterMs });
        }
    }

    finish(nowMs: number): void {
        for (const { request } of this.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
            recordUse(this.use, request.rank, nowMs - request.startedAtMs!, nowMs);
        }
        this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    }

    refuseLate(nowMs: number): void {
        const late = this.waiting.filter(({ arrivedAtMs, limitMs }) => nowMs - arrivedAtMs > limitMs);
        late.forEach(request => Object.assign(request, { refusedAtMs: nowMs }));
        this.waiting = this.waiting.filter(({ refusedAtMs }) => refusedAtMs === undefined)
            .sort((one, other) => one.rank - other.rank || one.arrivedAtMs - other.arrivedAtMs);
    }

    start(nowMs: number): void {
        for (const request of this.waiting.splice(0, this.connectionCount - this.running.length)) {
            request.startedAtMs = nowMs;
            recordUseStart(this.use, nowMs);
            this.running.push({ request, endsAtMs: nowMs + request.useMs });
        }
    }
}

const isWithin = (nowMs: number, { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number; }): boolean =>
    nowMs >= fromMs && nowMs < toMs;

/** Replays a load in virtual time. @param isDecided whether the decisions of this package apply; otherwise all requests wait */
export const replayLoad = (load: ReplayedLoad, isDecided: boolean): ReplayedRequest[] => {
    const queue = new QueueSimulation(load.connectionCount, isDecided);
    const due = load.arrivals.map(() => 0);
    for (let nowMs = 0; nowMs < load.lengthMs; nowMs += STEP_MS) {
        const isOut = load.outages.some(outage => isWithin(nowMs, outage));
        if (!isOut) {
            queue.finish(nowMs);
        }
        load.arrivals.forEach(({ rank, perSecond, useMs, limitMs, bursts }, index) => {
            const factor = bursts.find(burst => isWithin(nowMs, burst))?.factor ?? 1;
            for (due[index]! += perSecond * factor * STEP_MS / 1_000; due[index]! >= 1; due[index]!--) {
                queue.arrive(rank, useMs, limitMs, nowMs);
            }
        });
        queue.refuseLate(nowMs);
        if (!isOut) {
            queue.start(nowMs);
        }
    }
    return queue.requests;
};
