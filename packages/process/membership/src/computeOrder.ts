import { hashText } from "./hash.ts";

/**
 * Returns the index of a VM in the order in which VMs act on `subject`, by rendezvous hashing. All VMs with the same list of
 * members get the same order.
 */
export const computeOrder = (members: Iterable<string>, vm: string, subject: string): number => {
    const ownHash = hashText(`${subject} ${vm}`);
    return [...members].filter(member => member !== vm && hashText(`${subject} ${member}`) < ownHash).length;
};
