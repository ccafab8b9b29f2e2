import { hash } from "node:crypto";

/** Keys fall into this many slots; each slot belongs to one group. */
const SLOT_COUNT = 16_384;

const tables = new WeakMap<readonly string[], Uint16Array>();

/** 32 bits of a text's hash. */
const hashText = (text: string): number => hash("sha1", text, "buffer").readUInt32LE(0);

/** Mixes the bits of a 32-bit number: the finalizer of MurmurHash3. */
const mix = (value: number): number => {
    let bits = value;
    bits = Math.imul(bits ^ (bits >>> 16), 0x85eb_ca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
};

/** Gives each slot to the group with the highest mixed hash (rendezvous hashing). */
const createTable = (groups: readonly string[]): Uint16Array => {
    const groupHashes = groups.map(hashText);
    return Uint16Array.from({ length: SLOT_COUNT }, (_each, slot) => {
        const slotHash = mix(slot + 1);
        const weights = groupHashes.map(groupHash => mix(groupHash ^ slotHash));
        return weights.indexOf(Math.max(...weights));
    });
};

/** Chooses a service's group by a key. Adding a group moves only the keys that it takes over. */
export const chooseGroup = (groups: readonly string[], key: string): string => {
    let table = tables.get(groups);
    if (table === undefined) {
        table = createTable(groups);
        tables.set(groups, table);
    }
    return groups[table[hashText(key) % SLOT_COUNT]!]!;
};
