const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_SHIFT = 16;
const MIX_FACTOR = 0x45d9f3b;

/** Returns the 32-bit FNV-1a hash of a text, mixed so that all bits depend on all characters. */
export const hashText = (text: string): number => {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return mixHash(hash);
};

/** Mixes the bits of a 32-bit number so that each output bit depends on all input bits. */
export const mixHash = (value: number): number => {
    let hash = Math.imul(value ^ (value >>> MIX_SHIFT), MIX_FACTOR);
    hash = Math.imul(hash ^ (hash >>> MIX_SHIFT), MIX_FACTOR);
    return (hash ^ (hash >>> MIX_SHIFT)) >>> 0;
};
