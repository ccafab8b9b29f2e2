import type { ListedVm } from "@pomeloturn/types/Platform";
import { hashText } from "./hash.ts";
import { Condition } from "./Member.ts";
import { type Heartbeat, type ListingChange, type MembershipAction, MembershipActionKind } from "./membershipMessages.ts";
import type { Listing, MembershipState } from "./MembershipState.ts";

/** Time for which the VM list is used; afterwards the heartbeats alone decide. */
export const LISTING_VALIDITY_MS = 30_000;

const buildListing = (vms: ReadonlyMap<string, ListedVm>, listedAtMs: number): Listing => {
    let hash = 0;
    for (const { name, host, failureDomain, isLeaving } of vms.values()) {
        hash ^= hashText(`${name}\n${host}\n${failureDomain}\n${isLeaving}`);
    }
    return { vms, hash: hash >>> 0, listedAtMs };
};

/** Applies the platform's VM list and sends the changes to the neighbors in the same failure domain. */
export const applyPlatformListing = (
    state: MembershipState,
    { vms }: { readonly vms: readonly ListedVm[]; },
    nowMs: number,
): MembershipAction[] => {
    const known = state.listing;
    if (!isPlausible(state, vms)) {
        return [];
    }
    const listing = buildListing(new Map(vms.map(vm => [vm.name, vm])), nowMs);
    state.listing = listing;
    if (known?.hash === listing.hash) {
        return [];
    }
    const listed = vms.filter(vm => !isSame(vm, known?.vms.get(vm.name)));
    const removed = [...(known?.vms.keys() ?? [])].filter(name => !listing.vms.has(name));
    return [{ kind: MembershipActionKind.Changed }, ...sendChangeToNeighbors(state, { listed, removed, isComplete: false, ageMs: 0 }, "")];
};

/** Whether the list names at least one VM that is alive. One that names none is a fault of the platform. */
const isPlausible = (state: MembershipState, vms: readonly ListedVm[]): boolean =>
    vms.some(({ name }) => name === state.self.vm || state.members.get(name)?.condition === Condition.Alive);

const isSame = (left: ListedVm, right: ListedVm | undefined): boolean =>
    right !== undefined && left.host === right.host && left.failureDomain === right.failureDomain && left.isLeaving === right.isLeaving;

/** Applies a change of the VM list, or a complete list, from a neighbor and forwards a change to the other neighbors. */
export const applyListingChange = (
    state: MembershipState,
    { from, change }: { readonly from: string; readonly change: ListingChange; },
    nowMs: number,
): MembershipAction[] => {
    const listedAtMs = nowMs - change.ageMs;
    const known = state.listing;
    if (known !== undefined && known.listedAtMs > listedAtMs) {
        return [];
    }
    if (known === undefined && !change.isComplete) {
        return [{ kind: MembershipActionKind.RequestListing, vm: from }];
    }
    const vms = new Map(change.isComplete ? [] : known?.vms);
    change.removed.forEach(name => vms.delete(name));
    change.listed.forEach(vm => vms.set(vm.name, vm));
    const listing = buildListing(vms, listedAtMs);
    state.listing = listing;
    if (known?.hash === listing.hash) {
        return [];
    }
    const sends = change.isComplete ? [] : sendChangeToNeighbors(state, change, from);
    return [{ kind: MembershipActionKind.Changed }, ...sends];
};

/** Takes over the age of the sender's VM list when it is newer and the same; requests the list when it is newer and differs. */
export const updateListingFromHeartbeat = (
    state: MembershipState,
    from: string,
    heartbeat: Heartbeat,
    nowMs: number,
): MembershipAction[] => {
    const { listing } = state;
    const { listingAgeMs } = heartbeat;
    if (listingAgeMs === undefined || state.members.get(from)?.failureDomain !== state.self.failureDomain) {
        return [];
    }
    const listedAtMs = nowMs - listingAgeMs;
    if (listing !== undefined && listing.listedAtMs >= listedAtMs) {
        return [];
    }
    if (listing?.hash === heartbeat.listingHash) {
        state.listing = { ...listing, listedAtMs };
        return [];
    }
    return [{ kind: MembershipActionKind.RequestListing, vm: from }];
};

/** Builds the reply with the complete VM list for a neighbor that requests it. */
export const buildCompleteListing = (state: MembershipState, vm: string, nowMs: number): MembershipAction[] => {
    const { listing } = state;
    if (listing === undefined) {
        return [];
    }
    const ageMs = Math.round(nowMs - listing.listedAtMs);
    return [{
        kind: MembershipActionKind.SendListing,
        vm,
        change: { listed: [...listing.vms.values()], removed: [], isComplete: true, ageMs },
    }];
};

const sendChangeToNeighbors = (state: MembershipState, change: ListingChange, from: string): MembershipAction[] => {
    const { outgoing, incoming } = state.neighbors;
    return [...new Set([...outgoing, ...incoming])]
        .filter(vm => vm !== from && state.members.get(vm)?.failureDomain === state.self.failureDomain)
        .map(vm => ({ kind: MembershipActionKind.SendListing, vm, change }));
};
