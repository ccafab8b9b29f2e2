import type { StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { CANDIDATE_STAGGER_MS, ELECTION_TIMEOUT_MS } from "@pomeloturn/group-lease/leaseTiming";
import type { GroupState, Step } from "./GroupState.ts";
import { PROBE_AFTER_SILENCE_MS } from "./promotionTiming.ts";
import { runElection, startElection } from "./runElection.ts";
import { probePrimary } from "./watchPrimary.ts";

/** Runs the decisions of a VM that is not the holder at a tick: a witness without renewals probes the primary and then becomes a candidate, staggered by its index. */
export const monitorHolder = (state: GroupState, step: Step, { row }: StoredRow): void => {
    const witnessIndex = row.witnesses.findIndex(({ vm }) => vm === step.self.vm);
    const silenceMs = step.nowMs - state.witness.holderHeardAtMs;
    if (witnessIndex >= 0 && silenceMs >= PROBE_AFTER_SILENCE_MS) {
        probePrimary(state, step, false);
    }
    const isDue = silenceMs >= ELECTION_TIMEOUT_MS + witnessIndex * CANDIDATE_STAGGER_MS && step.nowMs >= state.electionDeferredUntilMs;
    if (state.election === undefined && witnessIndex >= 0 && isDue) {
        startElection(state, step, false);
    }
    runElection(state, step);
};
