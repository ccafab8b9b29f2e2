import { createHash } from "node:crypto";

/** Orders VMs by the hash of group and VM, so that the groups spread evenly and a change moves only its share. */
export const rankVms = <Vm extends { readonly vm: string; }>(vms: readonly Vm[], group: string): Vm[] =>
    vms
        .map(vm => ({ vm, hash: createHash("sha1").update(`${group}\n${vm.vm}`).digest("hex") }))
        .sort((left, right) => (left.hash < right.hash ? -1 : 1))
        .map(({ vm }) => vm);
