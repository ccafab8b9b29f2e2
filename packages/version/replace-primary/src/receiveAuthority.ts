import type { Authority } from "@pomeloturn/types/Protocols";
import { ReplacementPhase, type ReplacementState } from "./ReplacementState.ts";
import { RESUME_CHECK_DELAY_MS } from "./replacementTiming.ts";

/** Phases in which the next order will use the authority that was claimed. */
const PHASES_BEFORE_ORDER: ReadonlySet<ReplacementPhase> = new Set<ReplacementPhase>([
    ReplacementPhase.Surveying,
    ReplacementPhase.TransferringLeadership,
]);

/** Phases in which an order may still be sent. */
const PHASES_WITH_ORDER: ReadonlySet<ReplacementPhase> = new Set<ReplacementPhase>([...PHASES_BEFORE_ORDER, ReplacementPhase.Ordering]);

const isNewer = (authority: Authority, known: Authority): boolean =>
    authority.era > known.era
    || (authority.era === known.era && (authority.fence > known.fence || authority.version > known.version));

/**
 * Takes over the authority that stands in the store, unless it is older than the known one.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns whether the authority that the present attempt has claimed is no longer valid
 */
export const receiveAuthority = (state: ReplacementState, authority: Authority, nowMs: number): boolean => {
    const known = state.authority;
    if (!isNewer(authority, known)) {
        return false;
    }
    // A store that states no era is in era 0 for good, so the first era of another store does not mean that it was restored.
    const isRestored = known.era > 0 && authority.era > known.era;
    const isOfOtherVm = authority.holder !== state.vm && authority.fence > known.fence;
    if (isRestored || isOfOtherVm) {
        // A restored store may have lost the claim of another VM that has just ordered a promotion.
        state.otherVmClaimedAtMs = nowMs;
        state.resumeCheckAtMs = nowMs + RESUME_CHECK_DELAY_MS;
    }
    state.authority = authority;
    return (isRestored && PHASES_BEFORE_ORDER.has(state.phase)) || (isOfOtherVm && PHASES_WITH_ORDER.has(state.phase));
};
