import type { ListedVm } from "@pomeloturn/types/Platform";
import type { Member } from "./Member.ts";

/** What the sender of a heartbeat knows of one failure domain. */
export interface DomainDigest {
    readonly failureDomain: string;
    readonly membersHash: number;
}

/** Sent to the outgoing neighbors at each interval. */
export interface Heartbeat {
    readonly incarnation: number;
    readonly sequence: number;
    readonly digests: readonly DomainDigest[];
    readonly listingHash: number;
    /** Age of the sender's VM list; undefined when it has none. */
    readonly listingAgeMs: number | undefined;
}

/** Constants for `MembershipEvent.kind`. */
export const MembershipEventKind = {
    Tick: "tick",
    Heartbeat: "heartbeat",
    Members: "members",
    MembersRequest: "membersRequest",
    Listed: "listed",
    ListingChange: "listingChange",
    ListingRequest: "listingRequest",
    Leave: "leave",
} as const;

/** What happens to the membership. `from` is the VM that sent it. */
export type MembershipEvent =
    | { readonly kind: typeof MembershipEventKind.Tick; }
    | { readonly kind: typeof MembershipEventKind.Heartbeat; readonly from: string; readonly heartbeat: Heartbeat; }
    | { readonly kind: typeof MembershipEventKind.Members; readonly from: string; readonly members: readonly Member[]; }
    | { readonly kind: typeof MembershipEventKind.MembersRequest; readonly from: string; readonly failureDomain: string; }
    /** The platform answered with its list. */
    | { readonly kind: typeof MembershipEventKind.Listed; readonly vms: readonly ListedVm[]; }
    | { readonly kind: typeof MembershipEventKind.ListingChange; readonly from: string; readonly change: ListingChange; }
    | { readonly kind: typeof MembershipEventKind.ListingRequest; readonly from: string; }
    /** This VM begins to shut down. */
    | { readonly kind: typeof MembershipEventKind.Leave; };

/** Change of the VM list, or the whole of it. */
export interface ListingChange {
    readonly listed: readonly ListedVm[];
    readonly removed: readonly string[];
    readonly isComplete: boolean;
    readonly ageMs: number;
}

/** Constants for `MembershipAction.kind`. */
export const MembershipActionKind = {
    SendHeartbeat: "sendHeartbeat",
    SendMembers: "sendMembers",
    RequestMembers: "requestMembers",
    SendListing: "sendListing",
    RequestListing: "requestListing",
    Changed: "changed",
    Superseded: "superseded",
} as const;

/** What the shell is to do. */
export type MembershipAction =
    | { readonly kind: typeof MembershipActionKind.SendHeartbeat; readonly vm: string; readonly heartbeat: Heartbeat; }
    | { readonly kind: typeof MembershipActionKind.SendMembers; readonly vm: string; readonly members: readonly Member[]; }
    | { readonly kind: typeof MembershipActionKind.RequestMembers; readonly vm: string; readonly failureDomain: string; }
    | { readonly kind: typeof MembershipActionKind.SendListing; readonly vm: string; readonly change: ListingChange; }
    | { readonly kind: typeof MembershipActionKind.RequestListing; readonly vm: string; }
    /** VMs, their states or the list changed. */
    | { readonly kind: typeof MembershipActionKind.Changed; }
    /** A later process runs under this VM's name: this one has to stop. */
    | { readonly kind: typeof MembershipActionKind.Superseded; };
