import type { StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import { GroupActionKind } from "./GroupAction.ts";
import type { Step } from "./GroupState.ts";

/** States to the witnesses that this VM will not lead under the row again. A witness that knows a newer row answers with it. */
export const sendRelease = (step: Step, { version, row }: StoredRow): void => {
    for (const { vm } of row.witnesses) {
        step.actions.push({ kind: GroupActionKind.Send, vm, message: { kind: LeaseMessageKind.Release, rowVersion: version } });
    }
};
