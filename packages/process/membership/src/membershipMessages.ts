import type { ListedVm } from "@pomeloturn/types/Platform";
import type { Member } from "./Member.ts";

/** Hash of the members of one failure domain as the sender of a heartbeat sees them. */
export interface DomainDigest {
    readonly failureDomain: string;
    readonly membersHash: number;
}

/** Message to the outgoing neighbors at each heartbeat interval. */
export interface Heartbeat {
    readonly incarnation: number;
    readonly sequence: number;
    readonly digests: readonly DomainDigest[];
    readonly listingHash: number;
    /** Age of the sender's VM list in milliseconds; undefined when it has none. */
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

/** Input of `stepMembership`. `from` is the VM that sent the event. */
export type MembershipEvent =
    | { readonly kind: typeof MembershipEventKind.Tick; }
    | { readonly kind: typeof MembershipEventKind.Heartbeat; readonly from: string; readonly heartbeat: Heartbeat; }
    | { readonly kind: typeof MembershipEventKind.Members; readonly from: string; readonly members: readonly Member[]; }
    | { readonly kind: typeof MembershipEventKind.MembersRequest; readonly from: string; readonly failureDomain: string; }
    /** The platform returned its VM list. */
    | { readonly kind: typeof MembershipEventKind.Listed; readonly vms: readonly ListedVm[]; }
    | { readonly kind: typeof MembershipEventKind.ListingChange; readonly from: string; readonly change: ListingChange; }
    | { readonly kind: typeof MembershipEventKind.ListingRequest; readonly from: string; }
    /** This VM starts to shut down. */
    | { readonly kind: typeof MembershipEventKind.Leave; };

/** Change of the VM list, or the complete list. */
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

/** Action that the caller of `stepMembership` executes. */
export type MembershipAction =
    | { readonly kind: typeof MembershipActionKind.SendHeartbeat; readonly vm: string; readonly heartbeat: Heartbeat; }
    | { readonly kind: typeof MembershipActionKind.SendMembers; readonly vm: string; readonly members: readonly Member[]; }
    | { readonly kind: typeof MembershipActionKind.RequestMembers; readonly vm: string; readonly failureDomain: string; }
    | { readonly kind: typeof MembershipActionKind.SendListing; readonly vm: string; readonly change: ListingChange; }
    | { readonly kind: typeof MembershipActionKind.RequestListing; readonly vm: string; }
    /** The VMs, their states or the VM list changed. */
    | { readonly kind: typeof MembershipActionKind.Changed; }
    /** A controller with a later incarnation runs under this VM's name, so this process has to stop. */
    | { readonly kind: typeof MembershipActionKind.Superseded; };
