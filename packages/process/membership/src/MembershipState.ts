import type { ListedVm } from "@pomeloturn/types/Platform";
import { chooseNeighbors, type Neighbors } from "./chooseNeighbors.ts";
import type { Member } from "./Member.ts";
import type { DomainDigest } from "./membershipMessages.ts";

/** The platform's VM list as it was last seen. */
export interface Listing {
    readonly vms: ReadonlyMap<string, ListedVm>;
    readonly hash: number;
    /** Monotonic time at which the platform gave the list. */
    readonly listedAtMs: number;
}

/** What one controller knows of the entry VMs. Times are monotonic milliseconds of this VM. */
export interface MembershipState {
    self: Member;
    /** All other VMs, also those that are gone but may return. */
    readonly members: Map<string, Member>;
    /** When a member was suspected or gone, by VM. */
    readonly changedAtMs: Map<string, number>;
    /** When a heartbeat came or a suspicion was refuted, by VM. */
    readonly heardAtMs: Map<string, number>;
    /** Time without a heartbeat after which an incoming neighbor is suspected, by VM. */
    readonly patienceMs: Map<string, number>;
    /** Senders whose digest of a failure domain differed from ours, as "vm domain". */
    readonly mismatches: Set<string>;
    /** Digests of the members as they are; undefined after a change. */
    digests: readonly DomainDigest[] | undefined;
    neighbors: Neighbors;
    listing: Listing | undefined;
    lastTickAtMs: number;
    recontactIndex: number;
    lastRecontactAtMs: number;
}

export const createMembership = (self: Member, nowMs: number): MembershipState => ({
    self,
    members: new Map(),
    changedAtMs: new Map(),
    heardAtMs: new Map(),
    patienceMs: new Map(),
    mismatches: new Set(),
    digests: undefined,
    neighbors: chooseNeighbors(self, []),
    listing: undefined,
    lastTickAtMs: nowMs,
    recontactIndex: 0,
    lastRecontactAtMs: nowMs,
});
