import { type AllowanceBounds, computeSeatLimits } from "@pomeloturn/team-allowance/computeSeatLimits";
import type { AllowanceDecision, TeamEntry, TeamTable } from "@pomeloturn/types/Teams";
import type { AllowanceMember } from "./AllowanceMember.ts";
import { type AllowanceMessage, AllowanceMessageKind, decodeAllowanceMessage, encodeAllowanceMessage } from "./allowanceMessages.ts";
import { type HeldSeat, HeldSeats, type SeatAnswer } from "./HeldSeats.ts";
import { SeatAssignment } from "./SeatAssignment.ts";
import {
    createSeatMemory,
    expireSeatMemory,
    isSilent,
    orderCandidates,
    recordAnswer,
    recordNoAnswer,
    recordRefusal,
    refusalLeftMs,
    type SeatCandidate,
} from "./SeatChoice.ts";

/** Time to wait for the answer of a holder in the same region, and in another one: a few times the way there and back. */
const NEAR_TIMEOUT_MS = 60;
const FAR_TIMEOUT_MS = 100;
/** Time after a change of the seats in which former holders are asked at short intervals. */
const PROMPT_TAKEOVER_MS = 2_000;
/** Time after which a holder that lost a seat may be asked again. */
const NOT_HOLDER_PAUSE_MS = 300;
/** Time after which an operation may be tried again when no holder answered. */
const NO_ANSWER_RETRY_MS = 250;

/**
 * Multiple of `contactMs` after which a former holder that does not answer a takeover counts as gone. A VM that is partitioned
 * from others for up to 12 s may grant operations of the seat to those that it reaches until it learns of the takeover.
 */
const TAKEOVER_WAIT_FACTOR = 3;

/** What became of a request for an operation; see `AllowancePorts.onEvent`. */
export const AllowanceEvent = {
    Granted: "granted",
    Refused: "refused",
    /** No holder answered. */
    Unanswered: "unanswered",
    /** This VM granted or refused an operation as the holder of a seat. */
    SeatGranted: "seatGranted",
    SeatRefused: "seatRefused",
} as const;
export type AllowanceEvent = typeof AllowanceEvent[keyof typeof AllowanceEvent];

/** What an exchange needs from the process that hosts it. */
export interface AllowancePorts {
    readonly vm: string;
    readonly region: string;
    readonly bounds: AllowanceBounds;
    /** Time after which a VM that cannot be reached counts as gone. */
    readonly contactMs: number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Random number from 0 to 1. */
    readonly random: () => number;
    /** Calls `onDue` once after a time. @returns a function that cancels the call */
    readonly startTimer: (delayMs: number, onDue: () => void) => () => void;
    readonly send: (address: string, text: string) => void;
    readonly onEvent: (event: AllowanceEvent, team: string) => void;
}

interface PendingRequest {
    readonly resolve: (answer: AllowanceMessage | undefined) => void;
    readonly cancelTimer: () => void;
}

type Handler = (message: AllowanceMessage, sourceAddress: string) => void;

/** Asks the holders of a team's seats for operations, and answers for the seats that this VM holds. Knows no sockets. */
export class AllowanceExchange {
    private readonly assignment: SeatAssignment;
    private teams: TeamTable | undefined;
    private readonly held: HeldSeats;
    private readonly memory = createSeatMemory();
    private readonly pending = new Map<number, PendingRequest>();
    private lastNumber = 0;
    private seatsChangedAtMs = -Infinity;
    private hasStopped = false;

    private readonly handlers: Readonly<Record<AllowanceMessageKind, Handler>> = {
        [AllowanceMessageKind.Ask]: (message, source) => this.answerAsk(message, source),
        [AllowanceMessageKind.Takeover]: (message, source) => this.answerTakeover(message, source),
        [AllowanceMessageKind.Granted]: message => this.settle(message),
        [AllowanceMessageKind.Refused]: message => this.settle(message),
        [AllowanceMessageKind.NotHolder]: message => this.settle(message),
        [AllowanceMessageKind.Yielded]: message => this.settle(message),
    };

    private constructor(private readonly ports: AllowancePorts) {
        const takeoverWaitMs = TAKEOVER_WAIT_FACTOR * ports.contactMs;
        this.assignment = SeatAssignment.create(ports.vm, takeoverWaitMs);
        this.held = HeldSeats.create(takeoverWaitMs, (team, seat, passed) => this.assignment.findFormer(team, seat, passed));
    }

    static create(ports: AllowancePorts): AllowanceExchange {
        return new AllowanceExchange(ports);
    }

    /** Number of seats that this VM holds. */
    get heldSeatCount(): number {
        return this.held.count;
    }

    /** Whether this VM has just got seats whose former holders have not answered yet. They answer soon unless they are gone. */
    get isTakingOver(): boolean {
        const nowMs = this.ports.nowMs();
        return nowMs - this.seatsChangedAtMs < PROMPT_TAKEOVER_MS && this.held.listUnconfirmed(nowMs).length > 0;
    }

    setTeams(teams: TeamTable | undefined): void {
        const names = [...teams?.teams.keys() ?? []];
        const isSame = names.length === this.teams?.teams.size && names.every(name => this.teams!.teams.has(name));
        this.teams = teams;
        if (!isSame) {
            this.updateHeldSeats();
        }
    }

    setMembers(members: Iterable<AllowanceMember>): void {
        this.assignment.setMembers(members, this.ports.nowMs());
        this.updateHeldSeats();
    }

    /** Tells former holders of this VM's seats, and forgets what counts no more. Must be called regularly. */
    tick(): void {
        const nowMs = this.ports.nowMs();
        expireSeatMemory(this.memory, nowMs);
        this.held.expire(nowMs);
        this.held.listUnconfirmed(nowMs).forEach(seat => seat.formers.forEach(former => void this.takeOver(seat, former)));
    }

    /** Grants nothing more, because the process shuts down. */
    stop(): void {
        this.hasStopped = true;
        this.held.clear(this.ports.nowMs());
    }

    /** Takes one operation of a team's allowance. */
    async take(team: string): Promise<AllowanceDecision> {
        const candidates = orderCandidates(this.listCandidates(team), this.memory, this.ports.random(), this.ports.nowMs());
        let retryAfterMs: number | undefined;
        for (const candidate of candidates) {
            const nowMs = this.ports.nowMs();
            const leftMs = refusalLeftMs(this.memory, team, candidate.seat, nowMs);
            if (leftMs === 0 && retryAfterMs !== undefined && isSilent(this.memory, candidate.vm, nowMs)) {
                // Another seat has answered: the team has no room, which is no reason to wait for a silent holder.
                break;
            }
            const answer = leftMs > 0 ? { kind: "refused" as const, retryAfterMs: leftMs } : await this.ask(candidate, team);
            if (answer?.kind === "granted") {
                this.ports.onEvent(AllowanceEvent.Granted, team);
                return { isGranted: true };
            }
            if (answer?.kind === "refused") {
                retryAfterMs = Math.min(retryAfterMs ?? Infinity, answer.retryAfterMs);
            }
        }
        this.ports.onEvent(retryAfterMs === undefined ? AllowanceEvent.Unanswered : AllowanceEvent.Refused, team);
        return { isGranted: false, retryAfterMs: (retryAfterMs ?? NO_ANSWER_RETRY_MS) * (1 + this.ports.random()) };
    }

    /** Handles a datagram. */
    receive(text: string, sourceAddress: string): void {
        const message = decodeAllowanceMessage(text);
        if (message !== undefined) {
            this.handlers[message.kind](message, sourceAddress);
        }
    }

    private listCandidates(team: string): SeatCandidate[] {
        return this.assignment.findHolders(team).flatMap(({ holder }, seat) =>
            holder === undefined ? [] : [{ seat, vm: holder.vm, isNear: holder.region === this.ports.region }]
        );
    }

    private updateHeldSeats(): void {
        const nowMs = this.ports.nowMs();
        this.seatsChangedAtMs = nowMs;
        const teams = this.hasStopped ? [] : [...this.teams?.teams.keys() ?? []];
        this.held.replace(this.assignment.listSeats(teams, nowMs), new Set(this.assignment.addresses.keys()), nowMs);
    }

    /** @returns undefined without an answer in time */
    private async ask({ seat, vm, isNear }: SeatCandidate, team: string): Promise<SeatAnswer | undefined> {
        if (vm === this.ports.vm) {
            return this.takeHeld(team, seat);
        }
        const answer = await this.request(vm, { kind: AllowanceMessageKind.Ask, seat, team }, isNear ? NEAR_TIMEOUT_MS : FAR_TIMEOUT_MS);
        const nowMs = this.ports.nowMs();
        if (answer === undefined) {
            recordNoAnswer(this.memory, vm, nowMs);
            return undefined;
        }
        recordAnswer(this.memory, vm);
        if (answer.kind === AllowanceMessageKind.Refused) {
            recordRefusal(this.memory, team, seat, answer.retryAfterMs, nowMs);
            return { kind: "refused", retryAfterMs: answer.retryAfterMs };
        }
        if (answer.kind === AllowanceMessageKind.NotHolder) {
            recordRefusal(this.memory, team, seat, NOT_HOLDER_PAUSE_MS, nowMs);
            return { kind: "not-holder" };
        }
        return { kind: "granted" };
    }

    private takeHeld(team: string, seat: number): SeatAnswer {
        const entry: TeamEntry | undefined = this.teams?.teams.get(team);
        if (entry === undefined) {
            return { kind: "not-holder" };
        }
        const answer = this.held.take(team, seat, computeSeatLimits(entry, this.ports.bounds, seat), this.ports.nowMs());
        if (answer.kind !== "not-holder") {
            this.ports.onEvent(answer.kind === "granted" ? AllowanceEvent.SeatGranted : AllowanceEvent.SeatRefused, team);
        }
        return answer;
    }

    private answerAsk(message: AllowanceMessage, source: string): void {
        if (message.kind === AllowanceMessageKind.Ask) {
            this.ports.send(source, encodeAllowanceMessage({ ...this.takeHeld(message.team, message.seat), number: message.number }));
        }
    }

    private answerTakeover(message: AllowanceMessage, source: string): void {
        if (message.kind === AllowanceMessageKind.Takeover) {
            const { sender, team, seat, number } = message;
            const nowMs = this.ports.nowMs();
            // Without an answer the new holder asks again.
            if (this.held.yieldTo(sender, team, seat, nowMs)) {
                const isComplete = this.assignment.canVouch(team, sender, nowMs);
                const kind = isComplete ? AllowanceMessageKind.Yielded : AllowanceMessageKind.NotHolder;
                this.ports.send(source, encodeAllowanceMessage({ kind, number }));
            }
        }
    }

    private async takeOver({ team, seat }: HeldSeat, former: string): Promise<void> {
        const answer = await this.request(former, { kind: AllowanceMessageKind.Takeover, seat, team }, FAR_TIMEOUT_MS);
        if (answer?.kind === AllowanceMessageKind.Yielded) {
            this.held.confirm(team, seat, former, this.ports.nowMs());
        }
        else if (answer?.kind === AllowanceMessageKind.NotHolder) {
            this.held.confirmOnly(team, seat, former, this.ports.nowMs());
        }
    }

    private request(
        vm: string,
        message: { readonly kind: "ask" | "takeover"; readonly seat: number; readonly team: string; },
        timeoutMs: number,
    ): Promise<AllowanceMessage | undefined> {
        const address = this.assignment.addresses.get(vm);
        if (address === undefined) {
            return Promise.resolve(undefined);
        }
        const number = ++this.lastNumber;
        return new Promise(resolve => {
            const cancelTimer = this.ports.startTimer(timeoutMs, () => this.finish(number, undefined));
            this.pending.set(number, { resolve, cancelTimer });
            this.ports.send(address, encodeAllowanceMessage({ ...message, number, sender: this.ports.vm }));
        });
    }

    private settle(message: AllowanceMessage): void {
        this.finish(message.number, message);
    }

    private finish(number: number, answer: AllowanceMessage | undefined): void {
        const pending = this.pending.get(number);
        if (pending !== undefined) {
            this.pending.delete(number);
            pending.cancelTimer();
            pending.resolve(answer);
        }
    }
}
