import { chooseWitnesses } from "@pomeloturn/group-lease/chooseWitnesses";
import type { GroupRow } from "@pomeloturn/group-lease/GroupRow";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";
import { extendHistory } from "./choosePrimary.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { startChange } from "./rowChange.ts";

/** Returns the row with this VM as the holder. A candidate names only witnesses that have promised, because other VMs may be down or paused. */
export const createRowWithHolder = (state: GroupState, step: Step, row: GroupRow): GroupRow => {
    const { election } = state;
    if (election?.isByHolder !== false) {
        return { ...row, holder: step.self };
    }
    const answering = step.vms.filter(({ vm }) => vm === step.self.vm || election.promisedLeaseEndMs.has(vm));
    return { ...row, holder: step.self, witnesses: chooseWitnesses(state.group, step.self.vm, answering, row.witnesses) };
};

/** Starts the change of the row to a new term with the chosen replica as the primary. */
export const startPromotion = (state: GroupState, step: Step, row: GroupRow, primary: string, probe: InstanceProbe): void => {
    const term = row.term + 1;
    const next = { ...createRowWithHolder(state, step, row), term, primary, history: extendHistory(row.history, term, probe) };
    startChange(state, step, next, false);
};
