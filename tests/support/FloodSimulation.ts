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

const TICK_INTERVAL_MS = 100;
const REPORT_INTERVAL_MS = 200;
const LINK_DELAY_MS = 12;
const SENDER_SHARES = [0.7, 0.2, 0.1];

/** Ranks of the example deployments. */
export const RANKS = [
    { floorShare: 0.2, deadlineMs: 2_000 },
    { floorShare: 0.2, deadlineMs: 5_000 },
    { floorShare: 0.1, deadlineMs: 5_000 },
];

/** Options of a simulated instance with seeded random arrivals in virtual time. */
export interface FloodOptions {
    readonly slots: number;
    readonly seed: number;
    readonly durationMs: number;
    /** Arrival rate of a rank, in requests per second. */
    ratePerSecond(rank: number, nowMs: number): number;
    serviceTimeMs(nowMs: number, random: number): number;
    /** Time at which an instance without a leader at `nowMs` has a leader again; 0 if it has one at `nowMs`. */
    leaderRestoredAtMs(nowMs: number): number;
    readonly hasCredits: boolean;
}

/** Outcome of one request; `startedAtMs` is unset until it has a slot, `endedAtMs` until it is answered. */
export interface RequestOutcome {
    readonly rank: number;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    startedAtMs?: number;
    endedAtMs?: number;
    refusal?: ResultCode;
}

interface ScheduledEvent {
    readonly atMs: number;
    readonly run: () => void;
}

/** Creates a deterministic random generator (mulberry32) of numbers from 0 to below 1. */
export const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Simulates arrivals at three senders, their credits, and the admission and service of one instance. */
export class FloodSimulation {
    readonly outcomes: RequestOutcome[] = [];
    maximumQueueLength = 0;
    forwardedCount = 0;
    private nowMs = 0;
    private readonly state: AdmissionState;
    private readonly senderRandom: () => number;
    /** One random stream per rank, so that the requests of a rank do not depend on the load of other ranks. */
    private readonly arrivalRandom: (() => number)[];
    private readonly serviceRandom: (() => number)[];
    private readonly scheduledEvents: ScheduledEvent[] = [];
    private readonly creditTrackers: CreditTracker[] = SENDER_SHARES.map(() => createCreditTracker());
    private readonly arrivals = SENDER_SHARES.map(() => RANKS.map(() => 0));
    private readonly senderByRequestId = new Map<number, number>();

    private constructor(private readonly options: FloodOptions) {
        this.senderRandom = createRandom(options.seed);
        this.arrivalRandom = RANKS.map((_rank, rank) => createRandom(options.seed + rank + 1));
        this.serviceRandom = RANKS.map((_rank, rank) => createRandom(options.seed - rank - 1));
        this.state = createAdmissionState({ slots: options.slots, ranks: RANKS, queueLimit: 500, queueLimitBytes: 1e9 }, 0);
    }

    static run(options: FloodOptions): FloodSimulation {
        const simulation = new FloodSimulation(options);
        RANKS.forEach((_rank, rank) => simulation.scheduleArrival(rank));
        simulation.repeat(TICK_INTERVAL_MS, () => simulation.step({ kind: AdmissionEventKind.Tick }));
        SENDER_SHARES.forEach((_share, sender) => simulation.repeat(REPORT_INTERVAL_MS, () => simulation.sendCreditReport(sender)));
        for (
            let next = simulation.scheduledEvents.shift();
            next !== undefined && next.atMs <= options.durationMs;
            next = simulation.scheduledEvents.shift()
        ) {
            simulation.nowMs = next.atMs;
            next.run();
        }
        return simulation;
    }

    private schedule(atMs: number, run: () => void): void {
        let low = 0;
        let high = this.scheduledEvents.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.scheduledEvents[middle]!.atMs <= atMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.scheduledEvents.splice(low, 0, { atMs, run });
    }

    private repeat(intervalMs: number, run: () => void): void {
        this.schedule(this.nowMs + intervalMs, () => {
            run();
            this.repeat(intervalMs, run);
        });
    }

    private scheduleArrival(rank: number): void {
        const meanMs = 1_000 / this.options.ratePerSecond(rank, this.nowMs);
        this.schedule(this.nowMs - Math.log(1 - this.arrivalRandom[rank]!()) * meanMs, () => {
            this.scheduleArrival(rank);
            const arrivedAtMs = Math.max(this.nowMs, this.options.leaderRestoredAtMs(this.nowMs));
            const id = this.outcomes.push({ rank, arrivedAtMs, deadlineAtMs: this.nowMs + RANKS[rank]!.deadlineMs }) - 1;
            this.schedule(arrivedAtMs, () => this.send(id));
        });
    }

    private send(id: number): void {
        const { rank, deadlineAtMs } = this.outcomes[id]!;
        const sample = this.senderRandom();
        const sender = sample < SENDER_SHARES[0]! ? 0 : sample < SENDER_SHARES[0]! + SENDER_SHARES[1]! ? 1 : 2;
        if (this.options.hasCredits && takeCredit(this.creditTrackers[sender]!, "one", rank, this.nowMs) !== ResultCode.Ok) {
            this.outcomes[id]!.refusal = ResultCode.QueueFull;
            return;
        }
        this.forwardedCount++;
        this.senderByRequestId.set(id, sender);
        this.arrivals[sender]![rank]!++;
        this.step({ kind: AdmissionEventKind.Arrived, request: { id, rank, deadlineAtMs, sizeBytes: 100, isPinned: false } });
    }

    private step(event: AdmissionEvent): void {
        for (const action of stepAdmission(this.state, event, this.nowMs)) {
            const outcome = this.outcomes[action.id]!;
            if (outcome.startedAtMs !== undefined || outcome.refusal !== undefined) {
                throw new Error(`request ${action.id} was started or refused a second time, by action ${action.kind}`);
            }
            if (action.kind === AdmissionActionKind.Refuse) {
                outcome.refusal = action.code;
                this.releaseCredit(action.id, false);
            }
            else {
                this.startService(action.id, outcome);
            }
        }
        this.maximumQueueLength = Math.max(this.maximumQueueLength, ...this.state.ranks.map(({ queue }) => queue.length));
    }

    private startService(id: number, outcome: RequestOutcome): void {
        outcome.startedAtMs = this.nowMs;
        this.schedule(this.nowMs + this.options.serviceTimeMs(this.nowMs, this.serviceRandom[outcome.rank]!()), () => {
            outcome.endedAtMs = this.nowMs;
            this.releaseCredit(id, true);
            this.step({ kind: AdmissionEventKind.Finished, id });
        });
    }

    private releaseCredit(id: number, isServed: boolean): void {
        releaseCredit(this.creditTrackers[this.senderByRequestId.get(id)!]!, "one", this.outcomes[id]!.rank, isServed);
    }

    /** Sends a credit report to a sender. It arrives after `LINK_DELAY_MS` and answers a request sent one round trip before. */
    private sendCreditReport(sender: number): void {
        const totals = RANKS.map((_rank, rank) => this.arrivals.reduce((sum, each) => sum + each[rank]!, 0));
        const credits = grantCredits(this.state, this.arrivals[sender]!, totals, SENDER_SHARES.length);
        const requestedAtMs = this.nowMs - LINK_DELAY_MS;
        this.schedule(
            this.nowMs + LINK_DELAY_MS,
            () => applyCreditReport(this.creditTrackers[sender]!, "one", credits, requestedAtMs, this.nowMs),
        );
        this.arrivals[sender] = this.arrivals[sender]!.map(count => count / 2);
    }
}
