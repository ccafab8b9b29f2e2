import type { AllowanceDecision, TeamTable } from "@pomeloturn/types/Teams";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { AllowanceEvent, AllowanceExchange } from "./AllowanceExchange.ts";

const BOUNDS = { windowS: 5, overageShare: 0.1, slackOperations: 20 };
const CONTACT_MS = 5_000;
const TAKEOVER_WAIT_MS = 3 * CONTACT_MS;
const TEAMS: TeamTable = {
    teams: new Map([["team", { name: "team", operationsPerS: 100, burstOperations: 100 }]]),
    teamNamesByKey: new Map(),
};
const MEMBERS = ["east-1", "east-2", "west-1", "west-2"].map((vm, index) => ({
    vm,
    version: index,
    region: vm.slice(0, 4),
    address: `${vm}:1`,
}));

interface Datagram {
    readonly address: string;
    readonly text: string;
}

/** An exchange of a VM that is no member and holds no seat, unless it has a member's name. */
const createExchange = (vm = "east-9"): { exchange: AllowanceExchange; sent: Datagram[]; events: AllowanceEvent[]; } => {
    const sent: Datagram[] = [];
    const events: AllowanceEvent[] = [];
    const exchange = AllowanceExchange.create({
        vm,
        region: "east",
        bounds: BOUNDS,
        contactMs: CONTACT_MS,
        nowMs: () => Date.now(),
        random: () => 0,
        startTimer: (delayMs, onDue) => {
            const timer = setTimeout(onDue, delayMs);
            return () => clearTimeout(timer);
        },
        send: (address, text) => sent.push({ address, text }),
        onEvent: event => events.push(event),
    });
    exchange.setTeams(TEAMS);
    exchange.setMembers(MEMBERS);
    return { exchange, sent, events };
};

/** Answers the last datagram. */
const answer = (exchange: AllowanceExchange, sent: readonly Datagram[], kind: string, rest = ""): Promise<unknown> => {
    const { address, text } = sent.at(-1)!;
    exchange.receive(`${kind} ${text.split(" ")[1]}${rest}`, address);
    return vi.advanceTimersByTimeAsync(0);
};

beforeEach(() => {
    vi.useFakeTimers({ now: 1_000_000 });
});
afterEach(() => {
    vi.useRealTimers();
});

describe("AllowanceExchange as the asking VM", () => {
    it("would fail if it did not ask the near seats first and then the others, within their time limits", async () => {
        const { exchange, sent, events } = createExchange();
        const outcome = exchange.take("team");
        await vi.advanceTimersByTimeAsync(60 + 60 + 100 + 99);
        expect(sent.map(({ address }) => address.slice(0, 4))).toEqual(["east", "east", "west", "west"]);
        expect(events).toEqual([]);
        await vi.advanceTimersByTimeAsync(1);
        expect(await outcome).toEqual({ isGranted: false, retryAfterMs: 250 });
        expect(events).toEqual([AllowanceEvent.Unanswered]);
    });

    it("would fail if a holder that is silent were asked first again within a second", async () => {
        const { exchange, sent } = createExchange();
        for (let attempt = 0; attempt < 2; attempt++) {
            const outcome = exchange.take("team");
            await vi.advanceTimersByTimeAsync(60);
            await answer(exchange, sent, "granted");
            expect(await outcome).toEqual({ isGranted: true });
        }
        const silent = sent[0]!.address;
        const outcome = exchange.take("team");
        expect(sent.at(-1)!.address).not.toBe(silent);
        await answer(exchange, sent, "granted");
        expect(await outcome).toEqual({ isGranted: true });
    });

    it("would fail if it gave up when one seat refuses, or asked that seat again before its time", async () => {
        const { exchange, sent } = createExchange();
        const outcome = exchange.take("team");
        await answer(exchange, sent, "refused", " 40");
        await answer(exchange, sent, "granted");
        expect(await outcome).toEqual({ isGranted: true });
        const refused = sent[0]!.address;
        void exchange.take("team");
        expect(sent.at(-1)!.address).not.toBe(refused);
        await vi.advanceTimersByTimeAsync(1_000);
        void exchange.take("team");
        expect(sent.at(-1)!.address).toBe(refused);
    });

    it("would fail if an operation that all seats refuse waited, or were tried again later than the first of them allows", async () => {
        const { exchange, sent, events } = createExchange();
        const outcome = exchange.take("team");
        for (const leftMs of [80, 40, 60, 90]) {
            await answer(exchange, sent, "refused", ` ${leftMs}`);
        }
        expect(await outcome).toEqual({ isGranted: false, retryAfterMs: 40 });
        expect(events).toEqual([AllowanceEvent.Refused]);
    });

    it("would fail if a VM that does not hold the seat any more ended the search", async () => {
        const { exchange, sent } = createExchange();
        const outcome = exchange.take("team");
        await answer(exchange, sent, "not-holder");
        await answer(exchange, sent, "granted");
        expect(await outcome).toEqual({ isGranted: true });
    });

    it("would fail if a late or repeated answer counted for another operation", async () => {
        const { exchange, sent } = createExchange();
        const outcomes: AllowanceDecision[] = [];
        void exchange.take("team").then(outcome => outcomes.push(outcome));
        const [, late] = sent[0]!.text.split(" ");
        await vi.advanceTimersByTimeAsync(60);
        exchange.receive(`granted ${late}`, sent[0]!.address);
        exchange.receive(`granted ${late}`, sent[0]!.address);
        await vi.advanceTimersByTimeAsync(0);
        expect(outcomes).toEqual([]);
        await answer(exchange, sent, "granted");
        expect(outcomes).toEqual([{ isGranted: true }]);
    });

    it("would fail if a VM asked itself by a datagram", async () => {
        const { exchange, sent, events } = createExchange("east-1");
        exchange.setMembers(MEMBERS.slice(0, 1));
        await vi.advanceTimersByTimeAsync(TAKEOVER_WAIT_MS + 1_000);
        expect(await exchange.take("team")).toEqual({ isGranted: true });
        expect(sent).toEqual([]);
        expect(events).toEqual([AllowanceEvent.SeatGranted, AllowanceEvent.Granted]);
    });
});

describe("AllowanceExchange as a holder", () => {
    /** Seat of the first region that the VM holds by its list. */
    const findSeat = (vm: string): number => {
        const { exchange, sent } = createExchange(vm);
        return [0, 2].find(seat => {
            exchange.receive(`ask 1 ${seat} team other`, "other:1");
            vi.advanceTimersByTime(TAKEOVER_WAIT_MS + 1_000);
            exchange.receive(`ask 1 ${seat} team other`, "other:1");
            return sent.at(-1)!.text === "granted 1";
        })!;
    };

    const ask = (exchange: AllowanceExchange, sent: readonly Datagram[], seat: number): string => {
        exchange.receive(`ask 1 ${seat} team other`, "other:1");
        return sent.at(-1)!.text;
    };

    it("would fail if an operation whose answer is lost left its token in the bucket", () => {
        const seat = findSeat("east-1");
        const { exchange, sent } = createExchange("east-1");
        vi.advanceTimersByTime(TAKEOVER_WAIT_MS);
        let count = 0;
        while (ask(exchange, sent, seat) === "granted 1") {
            count++;
        }
        expect(count).toBe(10);
        vi.advanceTimersByTime(Number(sent.at(-1)!.text.split(" ")[2]));
        expect(ask(exchange, sent, seat)).toBe("granted 1");
        expect(ask(exchange, sent, seat)).toMatch(/^refused 1 /);
    });

    it("would fail if a VM answered for a seat that it does not hold, or for a team that it does not know", () => {
        const { exchange, sent } = createExchange("east-9");
        expect(ask(exchange, sent, 0)).toBe("not-holder 1");
        exchange.receive("ask 2 0 stranger other", "other:1");
        expect(sent.at(-1)!.text).toBe("not-holder 2");
    });

    it("would fail if a VM granted after SIGTERM, or took seats of a later list", () => {
        const seat = findSeat("east-1");
        const { exchange, sent } = createExchange("east-1");
        vi.advanceTimersByTime(TAKEOVER_WAIT_MS + 1_000);
        exchange.stop();
        expect(ask(exchange, sent, seat)).toBe("not-holder 1");
        exchange.setMembers(MEMBERS);
        vi.advanceTimersByTime(TAKEOVER_WAIT_MS + 1_000);
        expect(ask(exchange, sent, seat)).toBe("not-holder 1");
        expect(exchange.heldSeatCount).toBe(0);
    });

    it("would fail if a new holder granted before the former one answered, or did not ask it again", async () => {
        const seat = findSeat("east-2");
        const { exchange, sent } = createExchange("east-2");
        exchange.setMembers(MEMBERS);
        const takeovers = (): Datagram[] => sent.filter(({ text }) => text.startsWith(`takeover`) && text.includes(` ${seat} team`));
        exchange.tick();
        await vi.advanceTimersByTimeAsync(200);
        exchange.tick();
        expect(takeovers().map(({ address }) => address)).toEqual(["east-1:1", "east-1:1"]);
        expect(ask(exchange, sent, seat)).toBe("not-holder 1");
        exchange.receive(`yielded ${takeovers()[1]!.text.split(" ")[1]}`, "east-1:1");
        await vi.advanceTimersByTimeAsync(1_000);
        expect(ask(exchange, sent, seat)).toBe("granted 1");
    });

    it("would fail if a new holder never granted because the former one is gone", () => {
        const seat = findSeat("east-2");
        const { exchange, sent } = createExchange("east-2");
        vi.advanceTimersByTime(TAKEOVER_WAIT_MS - 1);
        expect(ask(exchange, sent, seat)).toBe("not-holder 1");
        vi.advanceTimersByTime(1_000);
        expect(ask(exchange, sent, seat)).toBe("granted 1");
    });

    it("would fail if a process that has just started vouched for VMs of which it knows nothing", () => {
        const { exchange, sent } = createExchange("east-2");
        exchange.receive("takeover 7 1 team east-1", "east-1:1");
        expect(sent.at(-1)!.text).toBe("not-holder 7");
        vi.advanceTimersByTime(TAKEOVER_WAIT_MS);
        exchange.receive("takeover 8 1 team east-1", "east-1:1");
        expect(sent.at(-1)!.text).toBe("yielded 8");
    });

    it("would fail if a former holder granted after it had answered a takeover", () => {
        const seat = findSeat("east-1");
        const { exchange, sent } = createExchange("east-1");
        vi.advanceTimersByTime(TAKEOVER_WAIT_MS + 1_000);
        expect(ask(exchange, sent, seat)).toBe("granted 1");
        exchange.receive(`takeover 7 ${seat} team new`, "new:1");
        expect(sent.at(-1)).toEqual({ address: "new:1", text: "yielded 7" });
        expect(ask(exchange, sent, seat)).toBe("not-holder 1");
    });
});
