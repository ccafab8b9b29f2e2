import { ALL_GUARDS } from "@pomeloturn/group-lease/LeaseGuards";
import type { ControllerVm } from "@pomeloturn/types/Leadership";
import { expect, it } from "vitest";
import { createFirstRow } from "./createFirstRow.ts";
import { GroupActionKind } from "./GroupAction.ts";
import { createGroup } from "./GroupState.ts";

const GROUP = "ledger-1";
const INSTANCES = { one: "north-a", two: "north-b" };
const vm = (name: string): ControllerVm => ({ vm: name, incarnation: 1, failureDomain: "north-a", isLeaving: false });

/** Whether the VM "first" writes the row of a group whose row has been missing for `missingMs`. */
const isCreated = (vms: readonly ControllerVm[], missingMs: number): boolean => {
    const nowMs = 10_000;
    const state = createGroup(GROUP, INSTANCES, 0, 0);
    state.firstRowProbes.set("one", { isReplica: false, position: 1, timeline: 1 });
    state.firstRowProbes.set("two", { isReplica: true, position: 1, timeline: 1 });
    const step = { self: { vm: "first", incarnation: 1 }, vms, nowMs, random: 0, guards: ALL_GUARDS, actions: [] };
    createFirstRow(state, step, nowMs - missingMs);
    return step.actions.some(({ kind }: { kind: string; }) => kind === GroupActionKind.WriteRow);
};

it.each([
    ["immediately or in its turn when it knows two other VMs", ["first", "second", "third"], 600, true],
    ["not immediately when it knows one other VM, the only one that could witness its lease", ["first", "second"], 600, false],
    ["after a delay when it still knows one other VM", ["first", "second"], 3_600, true],
    ["not immediately when it knows no other VM", ["first"], 600, false],
    ["after a delay when it still knows no other VM", ["first"], 3_100, true],
])("a VM creates the first row %s", (_what, names, missingMs, expected) => {
    expect(isCreated(names.map(vm), missingMs)).toBe(expected);
});
