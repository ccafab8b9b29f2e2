import { createHash } from "node:crypto";

/** Orders VMs by the hash of group and VM (rendezvous hashing): groups spread evenly, and adding or removing a VM affects only its share of the groups. */
export const orderVmsByHash = <Vm extends { readonly vm: string; }>(vms: readonly Vm[], group: string): Vm[] =>
    vms
        .map(vm => ({ vm, hash: createHash("sha1").update(`${group}\n${vm.vm}`).digest("hex") }))
        .sort((left, right) => (left.hash < right.hash ? -1 : 1))
        .map(({ vm }) => vm);
