import type { ListedVm } from "@pomeloturn/types/Platform";
import { chooseNeighbors, type Neighbors } from "./chooseNeighbors.ts";
import type { Member } from "./Member.ts";
import type { DomainDigest } from "./membershipMessages.ts";

/** The platform's VM list, as last received. */
export interface Listing {
    readonly vms: ReadonlyMap<string, ListedVm>;
    readonly hash: number;
    /** Monotonic time of this VM at which the platform returned the list, in milliseconds. */
    readonly listedAtMs: number;
}

/** Membership of the entry VMs as one controller sees it. Times are monotonic milliseconds of this VM. */
export interface MembershipState {
    self: Member;
    /** All other VMs, including those that are gone but may return. */
    readonly members: Map<string, Member>;
    /** Time at which a member was last marked as suspected or gone, by VM. */
    readonly conditionChangedAtMs: Map<string, number>;
    /** Time of the last heartbeat or refuted suspicion, by VM. */
    readonly lastAliveAtMs: Map<string, number>;
    /** Time without a heartbeat after which an incoming neighbor is suspected, where it differs from the default, by VM. */
    readonly heartbeatTimeoutMs: Map<string, number>;
    /** Senders whose last digest of a failure domain differed from this VM's, as "vm domain". */
    readonly digestMismatches: Set<string>;
    /** Cached digests of the members; undefined after a change. */
    digests: readonly DomainDigest[] | undefined;
    neighbors: Neighbors;
    listing: Listing | undefined;
    lastTickAtMs: number;
    /** Number of attempts to reach members that are gone, which go through them in turn. */
    reconnectIndex: number;
    lastReconnectAtMs: number;
}

export const createMembership = (self: Member, nowMs: number): MembershipState => ({
    self,
    members: new Map(),
    conditionChangedAtMs: new Map(),
    lastAliveAtMs: new Map(),
    heartbeatTimeoutMs: new Map(),
    digestMismatches: new Set(),
    digests: undefined,
    neighbors: chooseNeighbors(self, []),
    listing: undefined,
    lastTickAtMs: nowMs,
    reconnectIndex: 0,
    lastReconnectAtMs: nowMs,
});
