import type { ControllerVm } from "@pomeloturn/types/Leadership";
import type { VmIncarnation } from "./GroupRow.ts";
import { WITNESS_COUNT } from "./leaseTiming.ts";
import { orderVmsByHash } from "./orderVmsByHash.ts";

interface DomainMember {
    readonly vm: ControllerVm;
    /** Number of VMs of the same failure domain that precede this one. */
    readonly indexInDomain: number;
}

/** Reorders the VMs so that the failure domains alternate. */
const interleaveDomains = (vms: readonly ControllerVm[]): ControllerVm[] => {
    const counts = new Map<string, number>();
    const members: DomainMember[] = vms.map(vm => {
        const indexInDomain = counts.get(vm.failureDomain) ?? 0;
        counts.set(vm.failureDomain, indexInDomain + 1);
        return { vm, indexInDomain };
    });
    return members.sort((left, right) => left.indexInDomain - right.indexInDomain).map(({ vm }) => vm);
};

/**
 * Chooses the witnesses of a group: up to `WITNESS_COUNT` VMs spread over the failure domains. The holder is added only
 * to make their number odd. VMs that are leaving are not chosen.
 *
 * @param kept witnesses of the present row that are still alive; they are preferred within their failure domain
 */
export const chooseWitnesses = (
    group: string,
    holder: string,
    vms: readonly ControllerVm[],
    kept: readonly VmIncarnation[] = [],
): VmIncarnation[] => {
    const isKept = (vm: string): boolean => kept.some(witness => witness.vm === vm);
    const usable = orderVmsByHash(vms.filter(({ isLeaving }) => !isLeaving), group);
    const others = usable.filter(({ vm }) => vm !== holder);
    const ordered = interleaveDomains([...others.filter(({ vm }) => isKept(vm)), ...others.filter(({ vm }) => !isKept(vm))]);
    const chosen = ordered.slice(0, WITNESS_COUNT);
    const holderVm = vms.find(({ vm }) => vm === holder);
    if (chosen.length % 2 === 0 && holderVm !== undefined) {
        chosen.push(holderVm);
    }
    return chosen.map(({ vm, incarnation }) => ({ vm, incarnation }));
};
