import { mixHash } from "@pomeloturn/membership/hash";
import { SEAT_COUNT } from "@pomeloturn/team-allowance/computeSeatLimits";

/** A registered VM that may hold seats. */
export interface SeatMember {
    readonly vm: string;
    readonly region: string;
    /** Hash of the VM's name. */
    readonly hash: number;
}

/** VM that holds a seat, and the one that holds it without that VM. Undefined when there are not enough VMs. */
export interface SeatHolder {
    readonly holder: SeatMember | undefined;
    readonly next: SeatMember | undefined;
}

const SEAT_FACTOR = 0x9e3779b1;
const isBefore = (one: SeatMember, oneScore: number, other: SeatMember, otherScore: number): boolean =>
    oneScore < otherScore || (oneScore === otherScore && one.vm < other.vm);

/** Finds the first two members by the hash of a seat. */
const findFirstTwo = (members: readonly SeatMember[], seatHash: number): SeatHolder => {
    let holder: SeatMember | undefined;
    let next: SeatMember | undefined;
    let holderScore = 0;
    let nextScore = 0;
    for (const member of members) {
        const score = mixHash(seatHash ^ member.hash);
        if (holder === undefined || isBefore(member, score, holder, holderScore)) {
            [next, nextScore] = [holder, holderScore];
            [holder, holderScore] = [member, score];
        }
        else if (next === undefined || isBefore(member, score, next, nextScore)) {
            [next, nextScore] = [member, score];
        }
    }
    return { holder, next };
};

/**
 * Chooses the VMs that hold the seats of a team's allowance, by rendezvous hashing. The regions take seats in turn, so that a
 * VM has one nearby. A VM holds two seats of a team only where a region has fewer VMs than seats.
 *
 * @param teamHash hash of the team's name
 */
export const chooseSeatHolders = (teamHash: number, members: readonly SeatMember[]): readonly SeatHolder[] => {
    const regions = [...new Set(members.map(({ region }) => region))].sort();
    const taken = new Set<SeatMember>();
    return Array.from({ length: SEAT_COUNT }, (_value, seat) => {
        const region = regions[seat % Math.max(1, regions.length)];
        const seatHash = teamHash + Math.imul(seat + 1, SEAT_FACTOR);
        const candidates = members.filter(member => member.region === region);
        const free = candidates.filter(member => !taken.has(member));
        const found = findFirstTwo(free.length > 0 ? free : candidates, seatHash);
        if (found.holder !== undefined) {
            taken.add(found.holder);
        }
        return found;
    });
};
