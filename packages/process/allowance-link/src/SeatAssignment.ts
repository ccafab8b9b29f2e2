import { hashText } from "@pomeloturn/membership/hash";
import type { AllowanceMember } from "./AllowanceMember.ts";
import { chooseSeatHolders, type SeatHolder, type SeatMember } from "./chooseSeatHolders.ts";
import type { HeldSeat } from "./HeldSeats.ts";

/** One list of VMs, with the holders that follow from it. */
class MemberList {
    /** Addresses of the VMs that take part, by name. */
    readonly addresses: ReadonlyMap<string, string>;
    readonly members: readonly SeatMember[];
    private readonly holders = new Map<string, readonly SeatHolder[]>();

    constructor(members: readonly AllowanceMember[]) {
        const usable = members.filter(({ address }) => address !== undefined);
        this.addresses = new Map(usable.map(({ vm, address }) => [vm, address!]));
        this.members = usable.map(({ vm, region }) => ({ vm, region, hash: hashText(vm) }));
    }

    findHolders(team: string): readonly SeatHolder[] {
        const known = this.holders.get(team);
        if (known !== undefined) {
            return known;
        }
        const found = chooseSeatHolders(hashText(team), this.members);
        this.holders.set(team, found);
        return found;
    }
}

/** The lists of VMs before and after the registration of this VM. */
interface Joining {
    readonly before: MemberList;
    readonly after: MemberList;
    readonly atMs: number;
}

const NO_MEMBERS = new MemberList([]);

/** Knows which VMs hold the seats by this VM's list of VMs, and from whom this VM has taken over those that it holds. */
export class SeatAssignment {
    private list = NO_MEMBERS;
    private previous = NO_MEMBERS;
    /** Undefined until this VM is listed. */
    private joining: Joining | undefined;
    /** Teams whose seats have been listed since this VM is listed. */
    private readonly joinedTeams = new Set<string>();

    private constructor(private readonly vm: string, private readonly maximumLagMs: number) {}

    /** @param maximumLagMs age from which no VM uses a list any more */
    static create(vm: string, maximumLagMs: number): SeatAssignment {
        return new SeatAssignment(vm, maximumLagMs);
    }

    /** Addresses of the listed VMs, by name. */
    get addresses(): ReadonlyMap<string, string> {
        return this.list.addresses;
    }

    setMembers(members: Iterable<AllowanceMember>, nowMs: number): void {
        const all = [...members];
        this.previous = this.list;
        this.list = new MemberList(all);
        const own = all.find(({ vm }) => vm === this.vm);
        if (own !== undefined && this.joining === undefined) {
            const before = new MemberList(all.filter(({ version }) => version < own.version));
            const after = new MemberList(all.filter(({ version }) => version <= own.version));
            this.joining = { before, after, atMs: nowMs };
        }
    }

    findHolders(team: string): readonly SeatHolder[] {
        return this.list.findHolders(team);
    }

    /** Finds the VM that held a seat when this VM registered, apart from some VMs. */
    findFormer(team: string, seat: number, passed: readonly string[]): string | undefined {
        const members = this.joining?.before.members.filter(({ vm }) => this.addresses.has(vm) && !passed.includes(vm)) ?? [];
        return chooseSeatHolders(hashText(team), members)[seat]?.holder?.vm;
    }

    /**
     * Whether this VM knows from whom it took over a team's seats, or is listed for so long that it does not matter. A process
     * that registered after the new holder has lost what the one before it knew.
     */
    canVouch(team: string, newHolder: string, nowMs: number): boolean {
        const { joining } = this;
        const isSettled = joining !== undefined && nowMs - joining.atMs >= this.maximumLagMs;
        return isSettled || (joining !== undefined && this.joinedTeams.has(team) && !joining.before.addresses.has(newHolder));
    }

    /**
     * Lists the seats that this VM holds, and those that it held when it registered although VMs hold them that have registered
     * since: their holders rely on this VM to know whether the holders before it have stopped.
     */
    listSeats(teams: readonly string[], nowMs: number): HeldSeat[] {
        const seats = teams.flatMap(team => this.findHolders(team).flatMap((_holder, seat) => this.describe(team, seat, nowMs)));
        if (this.joining !== undefined) {
            this.joinedTeams.clear();
            teams.forEach(team => this.joinedTeams.add(team));
        }
        return seats;
    }

    private describe(team: string, seat: number, nowMs: number): HeldSeat[] {
        const { joining } = this;
        const isHeld = this.holds(this.list, team, seat);
        const isKnownTeam = this.joinedTeams.has(team);
        if (joining === undefined || (!isHeld && (isKnownTeam || !this.holds(joining.after, team, seat)))) {
            return [];
        }
        if (isKnownTeam) {
            return [{ team, seat, isHeld, formers: this.listFormers(this.previous, team, seat) }];
        }
        // No VM uses a list without this VM any more.
        const isSettled = nowMs - joining.atMs >= this.maximumLagMs;
        const last = this.holds(joining.after, team, seat) ? joining.before : joining.after;
        return [{ team, seat, isHeld, formers: isSettled ? [] : this.listFormers(last, team, seat) }];
    }

    private holds(list: MemberList, team: string, seat: number): boolean {
        return list.findHolders(team)[seat]?.holder?.vm === this.vm;
    }

    /** A holder that is not listed any more has stopped: a VM deletes its registration only after that. */
    private listFormers(list: MemberList, team: string, seat: number): readonly string[] {
        const former = list.findHolders(team)[seat]?.holder?.vm;
        return former !== undefined && former !== this.vm && this.addresses.has(former) ? [former] : [];
    }
}
