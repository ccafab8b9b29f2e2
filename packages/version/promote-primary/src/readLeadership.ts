import type { GroupLeadership } from "@pomeloturn/types/Leadership";
import { type GroupState, isHolder, type Step } from "./GroupState.ts";

/** @returns the leadership of the group as known to this VM, or undefined while it knows no row */
export const readLeadership = (state: GroupState, context: Omit<Step, "actions">): GroupLeadership | undefined => {
    if (state.stored === undefined) {
        return undefined;
    }
    const { version, row } = state.stored;
    const hasPublished = state.publishedUntilMs !== -Infinity;
    const isLeading = isHolder(state, { ...context, actions: [] }) && state.primary.isConfirmed && hasPublished;
    return {
        group: state.group,
        rowVersion: version,
        term: row.term,
        primary: row.primary,
        holder: row.holder.vm,
        history: row.history,
        witnesses: row.witnesses.map(({ vm }) => vm),
        leaseExpiresAtMs: isLeading ? state.publishedUntilMs : undefined,
    };
};
