import { hashText } from "@pomeloturn/membership/hash";
import { type AllowanceBounds, computeSeatLimits } from "@pomeloturn/team-allowance/computeSeatLimits";
import type { TeamEntry, TeamTable } from "@pomeloturn/types/Teams";
import type { AllowanceMember } from "./AllowanceMember.ts";
import { type AllowanceMessage, AllowanceMessageKind, decodeAllowanceMessage, encodeAllowanceMessage } from "./allowanceMessages.ts";
import { chooseSeatHolders, type SeatHolder, type SeatMember } from "./chooseSeatHolders.ts";
import { type HeldSeat, HeldSeats, type SeatAnswer } from "./HeldSeats.ts";
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
/** Time after which a holder that lost a seat may be asked again. */
const NOT_HOLDER_PAUSE_MS = 300;
/** Time after which an operation may be tried again when no holder answered. */
const NO_ANSWER_RETRY_MS = 250;

/** Constants for `AllowanceEvents.onAsked` and the like are the names of the counters that operators see. */
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

/** Whether a team may run another operation. */
export type AllowanceOutcome =
    /** `waitMs`: time until the operation may be sent, in milliseconds. */
    | { readonly isGranted: true; readonly waitMs: number; }
    /** `retryAfterMs`: time after which the team is expected to have room, in milliseconds. */
    | { readonly isGranted: false; readonly retryAfterMs: number; };

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
    readonly send: (address: string, text: string) => void;
    readonly onEvent: (event: AllowanceEvent, team: string) => void;
}

/** A seat whose bucket was empty. */
interface SeatRefusal {
    readonly candidate: SeatCandidate;
    readonly retryAfterMs: number;
}

interface PendingRequest {
    readonly resolve: (answer: AllowanceMessage | undefined) => void;
    readonly timer: NodeJS.Timeout;
}

type RequestFields =
    | Omit<Extract<AllowanceMessage, { kind: "ask"; }>, "number">
    | Omit<Extract<AllowanceMessage, { kind: "takeover"; }>, "number">;

type Handler = (message: AllowanceMessage, sourceAddress: string) => void;

/** Asks the holders of a team's seats for operations, and answers for the seats that this VM holds. Knows no sockets. */
export class AllowanceExchange {
    private members: readonly SeatMember[] = [];
    private readonly addresses = new Map<string, string>();
    private teams: TeamTable | undefined;
    /** Holders by team, for the present members. */
    private readonly holders = new Map<string, readonly SeatHolder[]>();
    private readonly held: HeldSeats;
    private readonly memory = createSeatMemory();
    private readonly pending = new Map<number, PendingRequest>();
    private lastNumber = 0;
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
        this.held = HeldSeats.create(ports.contactMs);
    }

    static create(ports: AllowancePorts): AllowanceExchange {
        return new AllowanceExchange(ports);
    }

    /** Number of seats that this VM holds. */
    get heldSeatCount(): number {
        return this.held.count;
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
        const usable = [...members].filter(({ address }) => address !== undefined);
        this.addresses.clear();
        usable.forEach(({ vm, address }) => this.addresses.set(vm, address!));
        this.members = usable.map(({ vm, region }) => ({ vm, region, hash: hashText(vm) }));
        this.holders.clear();
        this.updateHeldSeats();
    }

    /** Tells former holders of this VM's seats, and forgets what counts no more. Must be called regularly. */
    tick(): void {
        const nowMs = this.ports.nowMs();
        expireSeatMemory(this.memory, nowMs);
        this.held.listUnconfirmed(nowMs).forEach(seat => void this.takeOver(seat));
    }

    /** Grants nothing more, because the process shuts down. */
    stop(): void {
        this.hasStopped = true;
        this.held.clear();
    }

    /**
     * Takes one operation of a team's allowance.
     *
     * @param maximumWaitMs longest time for which the operation may wait for its turn, in milliseconds
     */
    async take(team: string, maximumWaitMs: number): Promise<AllowanceOutcome> {
        const candidates = orderCandidates(this.listCandidates(team), this.memory, this.ports.random(), this.ports.nowMs());
        const refusals: SeatRefusal[] = [];
        for (const candidate of candidates) {
            const nowMs = this.ports.nowMs();
            const leftMs = refusalLeftMs(this.memory, team, candidate.seat, nowMs);
            if (leftMs === 0 && refusals.length > 0 && isSilent(this.memory, candidate.vm, nowMs)) {
                // Another seat has answered: the team has no room, which is no reason to wait for a silent holder.
                break;
            }
            const answer = leftMs > 0 ? { kind: "refused" as const, retryAfterMs: leftMs } : await this.ask(candidate, team, 0);
            if (answer?.kind === "granted") {
                return this.grant(team, answer.waitMs);
            }
            if (answer?.kind === "refused") {
                refusals.push({ candidate, retryAfterMs: answer.retryAfterMs });
            }
        }
        const first = refusals.sort((one, other) => one.retryAfterMs - other.retryAfterMs)[0];
        if (first !== undefined && first.retryAfterMs <= maximumWaitMs) {
            const answer = await this.ask(first.candidate, team, maximumWaitMs);
            if (answer?.kind === "granted") {
                return this.grant(team, answer.waitMs);
            }
        }
        this.ports.onEvent(first === undefined ? AllowanceEvent.Unanswered : AllowanceEvent.Refused, team);
        return { isGranted: false, retryAfterMs: (first?.retryAfterMs ?? NO_ANSWER_RETRY_MS) * (1 + this.ports.random()) };
    }

    /** Handles a datagram. */
    receive(text: string, sourceAddress: string): void {
        const message = decodeAllowanceMessage(text);
        if (message !== undefined) {
            this.handlers[message.kind](message, sourceAddress);
        }
    }

    private grant(team: string, waitMs: number): AllowanceOutcome {
        this.ports.onEvent(AllowanceEvent.Granted, team);
        return { isGranted: true, waitMs };
    }

    private findHolders(team: string): readonly SeatHolder[] {
        const known = this.holders.get(team);
        if (known !== undefined) {
            return known;
        }
        const found = chooseSeatHolders(hashText(team), this.members);
        this.holders.set(team, found);
        return found;
    }

    private listCandidates(team: string): SeatCandidate[] {
        return this.findHolders(team).flatMap(({ holder }, seat) =>
            holder === undefined ? [] : [{ seat, vm: holder.vm, isNear: holder.region === this.ports.region }]
        );
    }

    private updateHeldSeats(): void {
        const held: HeldSeat[] = [];
        for (const team of this.hasStopped ? [] : this.teams?.teams.keys() ?? []) {
            this.findHolders(team).forEach(({ holder, next }, seat) => {
                if (holder?.vm === this.ports.vm) {
                    held.push({ team, seat, former: next?.vm });
                }
            });
        }
        this.held.replace(held, new Set(this.addresses.keys()), this.ports.nowMs());
    }

    /** @returns undefined without an answer in time */
    private async ask({ seat, vm, isNear }: SeatCandidate, team: string, maximumWaitMs: number): Promise<SeatAnswer | undefined> {
        if (vm === this.ports.vm) {
            return this.takeHeld(team, seat, maximumWaitMs);
        }
        const message = { kind: AllowanceMessageKind.Ask, seat, team, maximumWaitMs } as const;
        const answer = await this.request(vm, message, isNear ? NEAR_TIMEOUT_MS : FAR_TIMEOUT_MS);
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
        if (answer.kind === AllowanceMessageKind.Granted) {
            return { kind: "granted", waitMs: answer.waitMs };
        }
        recordRefusal(this.memory, team, seat, NOT_HOLDER_PAUSE_MS, nowMs);
        return { kind: "not-holder" };
    }

    private takeHeld(team: string, seat: number, maximumWaitMs: number): SeatAnswer {
        const entry: TeamEntry | undefined = this.teams?.teams.get(team);
        if (entry === undefined) {
            return { kind: "not-holder" };
        }
        const answer = this.held.take(team, seat, computeSeatLimits(entry, this.ports.bounds, seat), maximumWaitMs, this.ports.nowMs());
        if (answer.kind !== "not-holder") {
            this.ports.onEvent(answer.kind === "granted" ? AllowanceEvent.SeatGranted : AllowanceEvent.SeatRefused, team);
        }
        return answer;
    }

    private answerAsk(message: AllowanceMessage, source: string): void {
        if (message.kind === AllowanceMessageKind.Ask) {
            const answer = this.takeHeld(message.team, message.seat, message.maximumWaitMs);
            this.ports.send(source, encodeAllowanceMessage({ ...answer, number: message.number }));
        }
    }

    private answerTakeover(message: AllowanceMessage, source: string): void {
        if (message.kind === AllowanceMessageKind.Takeover) {
            this.held.yieldTo(message.sender, message.team, message.seat, this.ports.nowMs());
            this.ports.send(source, encodeAllowanceMessage({ kind: AllowanceMessageKind.Yielded, number: message.number }));
        }
    }

    private async takeOver({ team, seat, former }: HeldSeat): Promise<void> {
        const answer = await this.request(
            former!,
            { kind: AllowanceMessageKind.Takeover, seat, team, sender: this.ports.vm },
            FAR_TIMEOUT_MS,
        );
        if (answer?.kind === AllowanceMessageKind.Yielded) {
            this.held.confirm(team, seat);
        }
    }

    private request(
        vm: string,
        message: RequestFields,
        timeoutMs: number,
    ): Promise<AllowanceMessage | undefined> {
        const address = this.addresses.get(vm);
        if (address === undefined) {
            return Promise.resolve(undefined);
        }
        const number = ++this.lastNumber;
        return new Promise(resolve => {
            const timer = setTimeout(() => this.finish(number, undefined), timeoutMs);
            this.pending.set(number, { resolve, timer });
            this.ports.send(address, encodeAllowanceMessage({ ...message, number }));
        });
    }

    private settle(message: AllowanceMessage): void {
        this.finish(message.number, message);
    }

    private finish(number: number, answer: AllowanceMessage | undefined): void {
        const pending = this.pending.get(number);
        if (pending !== undefined) {
            this.pending.delete(number);
            clearTimeout(pending.timer);
            pending.resolve(answer);
        }
    }
}
