import type { ControllerVm } from "@pomeloturn/types/Leadership";
import { orderVmsByHash } from "./orderVmsByHash.ts";

/** Chooses the VM that should hold the lease, preferably one in the primary's failure domain. @returns undefined when every VM is leaving */
export const chooseHolder = (group: string, failureDomain: string, vms: readonly ControllerVm[]): ControllerVm | undefined => {
    const ranked = orderVmsByHash(vms.filter(({ isLeaving }) => !isLeaving), group);
    return ranked.find(vm => vm.failureDomain === failureDomain) ?? ranked[0];
};
