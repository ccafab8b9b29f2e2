import { hashText } from "@pomeloturn/membership/hash";
import type { RelayMember } from "./RelayMember.ts";

/** Number of VMs of a failure domain from which on one of them reads the store for the others. */
const MINIMUM_DOMAIN_SIZE = 4;

/** Where a VM reads the store's tables. */
export type TableSource =
    /** The store, as the VM that relays for its failure domain. */
    | { readonly kind: "relaying"; }
    /** The store, for itself only. */
    | { readonly kind: "store"; }
    | { readonly kind: "relay"; readonly member: RelayMember; };

/** Returns the relays of a failure domain in the order in which its VMs use them. All VMs with the same list get the same order. */
export const orderRelays = (members: Iterable<RelayMember>, failureDomain: string): RelayMember[] =>
    [...members].filter(member => member.failureDomain === failureDomain && member.relayAddress !== undefined)
        .map(member => ({ member, hash: hashText(`relay ${member.vm}`) }))
        .sort((one, other) => one.hash - other.hash || (one.member.vm < other.member.vm ? -1 : 1))
        .map(({ member }) => member);

/**
 * Chooses where a VM reads the store's tables: the first VM in order that has not failed lately. A VM asks only VMs before
 * itself, and reads the store when it is the first, so that no two wait for each other.
 *
 * Load pattern: hundreds of VMs that each follow three tables; each change is read once by every VM.
 *
 * @param ordered result of `orderRelays`
 * @param failedUntilMs monotonic time in milliseconds until which a VM is not asked, by VM name
 */
export const chooseRelay = (
    ordered: readonly RelayMember[],
    self: string,
    failedUntilMs: ReadonlyMap<string, number>,
    nowMs: number,
): TableSource => {
    const isRegistered = ordered.some(({ vm }) => vm === self);
    if (ordered.length < MINIMUM_DOMAIN_SIZE || !isRegistered) {
        return { kind: "store" };
    }
    const member = ordered.find(({ vm }) => vm === self || (failedUntilMs.get(vm) ?? -Infinity) <= nowMs)!;
    return member.vm === self ? { kind: "relaying" } : { kind: "relay", member };
};
