import type { ControllerVm } from "@pomeloturn/types/Leadership";
import type { VmIncarnation } from "./GroupRow.ts";
import { WITNESS_COUNT } from "./leaseTiming.ts";
import { rankVms } from "./rankVms.ts";

interface Ranking {
    readonly vm: ControllerVm;
    /** Number of VMs of the same failure domain before this one. */
    readonly depth: number;
}

/** Takes the failure domains in turn. */
const interleaveDomains = (vms: readonly ControllerVm[]): ControllerVm[] => {
    const counts = new Map<string, number>();
    const rankings: Ranking[] = vms.map(vm => {
        const depth = counts.get(vm.failureDomain) ?? 0;
        counts.set(vm.failureDomain, depth + 1);
        return { vm, depth };
    });
    return rankings.sort((left, right) => left.depth - right.depth).map(({ vm }) => vm);
};

/**
 * Chooses the witnesses of a group: an odd number of VMs over all failure domains, the holder only to make it odd.
 *
 * @param kept witnesses that stay, named by the row and still alive
 */
export const chooseWitnesses = (
    group: string,
    holder: string,
    vms: readonly ControllerVm[],
    kept: readonly VmIncarnation[] = [],
): VmIncarnation[] => {
    const isKept = (vm: string): boolean => kept.some(witness => witness.vm === vm);
    const usable = rankVms(vms.filter(({ isLeaving }) => !isLeaving), group);
    const others = usable.filter(({ vm }) => vm !== holder);
    const ordered = interleaveDomains([...others.filter(({ vm }) => isKept(vm)), ...others.filter(({ vm }) => !isKept(vm))]);
    const chosen = ordered.slice(0, WITNESS_COUNT);
    const self = vms.find(({ vm }) => vm === holder);
    if (chosen.length % 2 === 0 && self !== undefined) {
        chosen.push(self);
    }
    return chosen.map(({ vm, incarnation }) => ({ vm, incarnation }));
};
