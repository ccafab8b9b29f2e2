import { hashText, mixHash } from "@pomeloturn/membership/hash";
import type { Configuration } from "@pomeloturn/types/Configuration";
import { VmState, type VmView } from "@pomeloturn/types/ControlView";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";

/** Holder of each instance, by group and instance. */
export type Holders = Readonly<Record<string, Readonly<Record<string, string>>>>;

interface Candidate {
    readonly vm: string;
    readonly hash: number;
}

/**
 * Assigns a holder VM to each instance by rendezvous hashing: of the live VMs in the instance's failure domain, or
 * else in its region, or else anywhere, the one with the highest hash of VM and instance. When a VM joins or leaves,
 * only the instances that it gains or held move. All controllers with the same inputs get the same result.
 *
 * @returns holders by group and instance; without entries for instances when no VM is live
 */
export const assignHolders = (configuration: Configuration, vms: Readonly<Record<string, VmView>>): Holders => {
    const live = Object.entries(vms).filter(([, { state }]) => state === VmState.Live);
    const regionOf = (failureDomain: string): string => configuration.failureDomains[failureDomain] ?? failureDomain;
    const byDomain = groupCandidates(live, failureDomain => failureDomain);
    const byRegion = groupCandidates(live, regionOf);
    const all = live.map(([vm]) => ({ vm, hash: hashText(vm) }));
    return Object.fromEntries(
        Object.entries(configuration.groups).map(([group, { instances }]) => {
            const holders = Object.entries(instances).flatMap(([instance, { failureDomain }]) => {
                const candidates = byDomain.get(failureDomain) ?? byRegion.get(regionOf(failureDomain)) ?? all;
                const holder = chooseHolder(instanceKey(group, instance), candidates);
                return holder === undefined ? [] : [[instance, holder] as const];
            });
            return [group, Object.fromEntries(holders)];
        }),
    );
};

const groupCandidates = (
    live: readonly (readonly [vm: string, view: VmView])[],
    locationOf: (failureDomain: string) => string,
): Map<string, Candidate[]> => {
    const groups = new Map<string, Candidate[]>();
    for (const [vm, { failureDomain }] of live) {
        const location = locationOf(failureDomain);
        groups.set(location, [...(groups.get(location) ?? []), { vm, hash: hashText(vm) }]);
    }
    return groups;
};

const chooseHolder = (key: string, candidates: readonly Candidate[]): string | undefined => {
    const keyHash = hashText(key);
    let best: Candidate | undefined;
    let bestScore = -1;
    for (const candidate of candidates) {
        const score = mixHash(candidate.hash ^ keyHash);
        if (score > bestScore || (score === bestScore && best !== undefined && candidate.vm < best.vm)) {
            best = candidate;
            bestScore = score;
        }
    }
    return best?.vm;
};
