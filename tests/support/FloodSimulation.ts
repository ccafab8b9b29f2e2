import { type AdmissionState, createAdmissionState } from "@pomeloturn/admit-request/AdmissionState";
import {
    applyCreditReport,
    createCreditTracker,
    type CreditTracker,
    releaseCredit,
    takeCredit,
} from "@pomeloturn/admit-request/creditTracker";
import { grantCredits } from "@pomeloturn/admit-request/grantCredits";
import { AdmissionActionKind, type AdmissionEvent, AdmissionEventKind, stepAdmission } from "@pomeloturn/admit-request/stepAdmission";
import { ResultCode } from "@pomeloturn/errors/ResultCode";

const TICK_MS = 100;
const REPORT_MS = 200;
const LINK_MS = 12;
const SENDER_WEIGHTS = [0.7, 0.2, 0.1];

/** Ranks of the example deployments. */
export const RANKS = [
    { floorShare: 0.2, deadlineMs: 2_000 },
    { floorShare: 0.2, deadlineMs: 5_000 },
    { floorShare: 0.1, deadlineMs: 5_000 },
];

/** An instance under seeded arrivals in virtual time. */
export interface FloodOptions {
    readonly slots: number;
    readonly seed: number;
    readonly durationMs: number;
    /** Requests a second, by rank. */
    ratePerSecond(rank: number, nowMs: number): number;
    serviceTimeMs(nowMs: number, random: number): number;
    /** Time at which an instance that is not led at `nowMs` is led again. */
    ledAgainAtMs(nowMs: number): number;
    readonly hasCredits: boolean;
}

/** What became of one request. */
export interface Outcome {
    readonly rank: number;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    startedAtMs?: number;
    endedAtMs?: number;
    refusal?: ResultCode;
}

interface Scheduled {
    readonly atMs: number;
    readonly run: () => void;
}

/** Small deterministic random generator (mulberry32). */
export const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Runs arrivals, entry credits, admission and service of one instance. */
export class FloodSimulation {
    readonly outcomes: Outcome[] = [];
    maximumQueue = 0;
    crossedCount = 0;
    private nowMs = 0;
    private readonly state: AdmissionState;
    private readonly chooseSender: () => number;
    /** Streams of their own, so that a rank's requests are the same whatever the other ranks do. */
    private readonly arrivalRandom: (() => number)[];
    private readonly serviceRandom: (() => number)[];
    private readonly scheduled: Scheduled[] = [];
    private readonly ledgers: CreditTracker[] = SENDER_WEIGHTS.map(() => createCreditTracker());
    private readonly arrivals = SENDER_WEIGHTS.map(() => RANKS.map(() => 0));
    private readonly senderOf = new Map<number, number>();

    private constructor(private readonly options: FloodOptions) {
        this.chooseSender = createRandom(options.seed);
        this.arrivalRandom = RANKS.map((_rank, rank) => createRandom(options.seed + rank + 1));
        this.serviceRandom = RANKS.map((_rank, rank) => createRandom(options.seed - rank - 1));
        this.state = createAdmissionState({ slots: options.slots, ranks: RANKS, queueLimit: 500, queueLimitBytes: 1e9 }, 0);
    }

    static run(options: FloodOptions): FloodSimulation {
        const simulation = new FloodSimulation(options);
        RANKS.forEach((_rank, rank) => simulation.scheduleArrival(rank));
        simulation.every(TICK_MS, () => simulation.step({ kind: AdmissionEventKind.Tick }));
        SENDER_WEIGHTS.forEach((_weight, sender) => simulation.every(REPORT_MS, () => simulation.report(sender)));
        for (
            let next = simulation.scheduled.shift();
            next !== undefined && next.atMs <= options.durationMs;
            next = simulation.scheduled.shift()
        ) {
            simulation.nowMs = next.atMs;
            next.run();
        }
        return simulation;
    }

    private at(atMs: number, run: () => void): void {
        let low = 0;
        let high = this.scheduled.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.scheduled[middle]!.atMs <= atMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.scheduled.splice(low, 0, { atMs, run });
    }

    private every(intervalMs: number, run: () => void): void {
        this.at(this.nowMs + intervalMs, () => {
            run();
            this.every(intervalMs, run);
        });
    }

    private scheduleArrival(rank: number): void {
        const meanMs = 1_000 / this.options.ratePerSecond(rank, this.nowMs);
        this.at(this.nowMs - Math.log(1 - this.arrivalRandom[rank]!()) * meanMs, () => {
            this.scheduleArrival(rank);
            const arrivedAtMs = Math.max(this.nowMs, this.options.ledAgainAtMs(this.nowMs));
            const id = this.outcomes.push({ rank, arrivedAtMs, deadlineAtMs: this.nowMs + RANKS[rank]!.deadlineMs }) - 1;
            this.at(arrivedAtMs, () => this.enter(id));
        });
    }

    private enter(id: number): void {
        const { rank, deadlineAtMs } = this.outcomes[id]!;
        const choice = this.chooseSender();
        const sender = choice < SENDER_WEIGHTS[0]! ? 0 : choice < SENDER_WEIGHTS[0]! + SENDER_WEIGHTS[1]! ? 1 : 2;
        if (this.options.hasCredits && takeCredit(this.ledgers[sender]!, "one", rank, this.nowMs) !== ResultCode.Ok) {
            this.outcomes[id]!.refusal = ResultCode.QueueFull;
            return;
        }
        this.crossedCount++;
        this.senderOf.set(id, sender);
        this.arrivals[sender]![rank]!++;
        this.step({ kind: AdmissionEventKind.Arrived, request: { id, rank, deadlineAtMs, sizeBytes: 100, isPinned: false } });
    }

    private step(event: AdmissionEvent): void {
        for (const action of stepAdmission(this.state, event, this.nowMs)) {
            const outcome = this.outcomes[action.id]!;
            if (outcome.startedAtMs !== undefined || outcome.refusal !== undefined) {
                throw new Error(`request ${action.id} got a second action`);
            }
            if (action.kind === AdmissionActionKind.Refuse) {
                outcome.refusal = action.code;
                this.settle(action.id, false);
            }
            else {
                this.serve(action.id, outcome);
            }
        }
        this.maximumQueue = Math.max(this.maximumQueue, ...this.state.ranks.map(({ queue }) => queue.length));
    }

    private serve(id: number, outcome: Outcome): void {
        outcome.startedAtMs = this.nowMs;
        this.at(this.nowMs + this.options.serviceTimeMs(this.nowMs, this.serviceRandom[outcome.rank]!()), () => {
            outcome.endedAtMs = this.nowMs;
            this.settle(id, true);
            this.step({ kind: AdmissionEventKind.Finished, id });
        });
    }

    private settle(id: number, isServed: boolean): void {
        releaseCredit(this.ledgers[this.senderOf.get(id)!]!, "one", this.outcomes[id]!.rank, isServed);
    }

    /** The answer to an ask that was sent a round trip ago. */
    private report(sender: number): void {
        const totals = RANKS.map((_rank, rank) => this.arrivals.reduce((sum, each) => sum + each[rank]!, 0));
        const credits = grantCredits(this.state, this.arrivals[sender]!, totals, SENDER_WEIGHTS.length);
        const askedAtMs = this.nowMs - LINK_MS;
        this.at(this.nowMs + LINK_MS, () => applyCreditReport(this.ledgers[sender]!, "one", credits, askedAtMs, this.nowMs));
        this.arrivals[sender] = this.arrivals[sender]!.map(count => count / 2);
    }
}
