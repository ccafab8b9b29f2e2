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
    const groupHashes = groups.map(hashText);
    return Uint16Array.from({ length: SLOT_COUNT }, (_each, slot) => {
        const slotHash = mixBits(slot + 1);
        const weights = groupHashes.map(groupHash => mixBits(groupHash ^ slotHash));
        return weights.indexOf(Math.max(...weights));
    });
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
