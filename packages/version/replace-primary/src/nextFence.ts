import type { Authority } from "@pomeloturn/types/Protocols";

/**
 * Each era of the store has a range of fences. A store that is restored from a copy forgets claims, and the fences of the
 * forgotten ones must not be given to other holders.
 */
const FENCES_PER_ERA = 1_000_000;

/** Returns the fence of the next claim. */
export const nextFence = ({ era, fence }: Authority): number => Math.max(fence, era * FENCES_PER_ERA) + 1;
