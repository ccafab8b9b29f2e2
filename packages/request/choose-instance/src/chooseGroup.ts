import { hash } from "node:crypto";

/** Number of hash slots. Each slot belongs to one group. */
const SLOT_COUNT = 16_384;

/** Slot tables by list of groups: index of the group of each slot. */
const slotTables = new WeakMap<readonly string[], Uint16Array>();

/** Returns 32 bits of the SHA-1 hash of a text. */
const hashText = (text: string): number => hash("sha1", text, "buffer").readUInt32LE(0);

/** Mixes the bits of a 32-bit number with the finalizer of MurmurHash3. */
const mixBits = (value: number): number => {
    let bits = value;
    bits = Math.imul(bits ^ (bits >>> 16), 0x85eb_ca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
};

/** Assigns each slot to the group with the highest mixed hash (rendezvous hashing). */
const createSlotTable = (groups: readonly string[]): Uint16Array => {
    const groupHashes = Uint32Array.from(groups, hashText);
    const table = new Uint16Array(SLOT_COUNT);
    // Loops without allocations: this runs 16,384 times the number of groups whenever the list of groups changes.
    for (let slot = 0; slot < SLOT_COUNT; slot++) {
        const slotHash = mixBits(slot + 1);
        let highestWeight = -1;
        for (let group = 0; group < groupHashes.length; group++) {
            const weight = mixBits(groupHashes[group]! ^ slotHash);
            if (weight > highestWeight) {
                highestWeight = weight;
                table[slot] = group;
            }
        }
    }
    return table;
};

/** Chooses a group by the hash of a key. Adding a group moves only the keys that the new group takes over. */
export const chooseGroup = (groups: readonly string[], key: string): string => {
    let table = slotTables.get(groups);
    if (table === undefined) {
        table = createSlotTable(groups);
        slotTables.set(groups, table);
    }
    return groups[table[hashText(key) % SLOT_COUNT]!]!;
};
