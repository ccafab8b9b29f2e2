import type { StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { CANDIDATE_STAGGER_MS, ELECTION_TIMEOUT_MS } from "@pomeloturn/group-lease/leaseTiming";
import { GroupActionKind } from "./GroupAction.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { PROBE_AFTER_SILENCE_MS } from "./promotionTiming.ts";
import { runElection, startElection } from "./runElection.ts";
import { isChangeDeferred } from "./tableEra.ts";
import { probePrimary } from "./watchPrimary.ts";

/** Runs the decisions of a VM that is not the holder at a tick: a witness without renewals probes the primary and then becomes a candidate, staggered by its index. */
export const monitorHolder = (state: GroupState, step: Step, { row }: StoredRow): void => {
    const witnessIndex = row.witnesses.findIndex(({ vm }) => vm === step.self.vm);
    const silenceMs = step.nowMs - state.witness.holderHeardAtMs;
    if (witnessIndex >= 0 && silenceMs >= PROBE_AFTER_SILENCE_MS) {
        probePrimary(state, step, false);
        readRowOnce(state, step);
    }
    if (isChangeDeferred(state, step)) {
        return;
    }
    const isDue = silenceMs >= ELECTION_TIMEOUT_MS + witnessIndex * CANDIDATE_STAGGER_MS && step.nowMs >= state.electionDeferredUntilMs;
    if (state.election === undefined && witnessIndex >= 0 && isDue) {
        startElection(state, step, false);
    }
    runElection(state, step);
};

/** Reads the row once in a silence of the holder, so that a restore of the table service is known before an election. */
const readRowOnce = (state: GroupState, step: Step): void => {
    if (state.rowReadAtMs < state.witness.holderHeardAtMs) {
        state.rowReadAtMs = step.nowMs;
        step.actions.push({ kind: GroupActionKind.ReadRow });
    }
};
