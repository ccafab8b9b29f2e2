import { expect, it } from "vitest";
import type { AllowanceMember } from "./AllowanceMember.ts";
import { SeatAssignment } from "./SeatAssignment.ts";

const LAG_MS = 15_000;

const createMember = (vm: string, version: number): AllowanceMember => ({ vm, version, region: "east", address: vm });
const MEMBERS = ["a", "b", "c", "d", "e", "f", "g"].map((vm, index) => createMember(vm, index + 1));

const createAssignment = (vm: string, lists: readonly (readonly AllowanceMember[])[]): SeatAssignment => {
    const assignment = SeatAssignment.create(vm, LAG_MS);
    lists.forEach(list => assignment.setMembers(list, 0));
    return assignment;
};

const findHolder = (members: readonly AllowanceMember[], seat: number): string =>
    createAssignment("", [members]).findHolders("team")[seat]!.holder!.vm;

/** The holder of the first seat, the next one, and so on. */
const listOrder = (members: readonly AllowanceMember[]): string[] =>
    members.length === 0
        ? []
        : [findHolder(members, 0), ...listOrder(members.filter(({ vm }) => vm !== findHolder(members, 0)))];

const [FIRST, SECOND, THIRD] = listOrder(MEMBERS) as [string, string, string];

/** @param versions versions of the registrations of the first three VMs by hash */
const createList = (...versions: readonly number[]): AllowanceMember[] =>
    MEMBERS.map(({ vm }) => createMember(vm, [versions[[FIRST, SECOND, THIRD].indexOf(vm)], 1].find(each => each !== undefined)!));

it("would fail if a new VM did not ask the holder that had registered before it", () => {
    const assignment = createAssignment(FIRST, [createList(5, 1, 1)]);
    expect(assignment.listSeats(["team"], 0)[0]).toEqual({ team: "team", seat: 0, isHeld: true, formers: [SECOND] });
});

it("would fail if a new VM relied on one that registered later and never held the seat", () => {
    const assignment = createAssignment(FIRST, [createList(5, 6, 1)]);
    expect(assignment.listSeats(["team"], 0)[0]).toEqual({ team: "team", seat: 0, isHeld: true, formers: [THIRD] });
});

it("would fail if a VM did not ask the former holder of a seat that a later VM took before it read its first list", () => {
    const assignment = createAssignment(SECOND, [createList(6, 5, 1)]);
    expect(assignment.listSeats(["team"], 0).find(({ seat }) => seat === 0)).toMatchObject({ isHeld: false, formers: [THIRD] });
});

it("would fail if the next holder waited for a VM that has stopped and left", () => {
    const all = createList(1, 1, 1);
    const assignment = createAssignment(SECOND, [all]);
    assignment.listSeats(["team"], 0);
    assignment.setMembers(all.filter(({ vm }) => vm !== FIRST), 100);
    expect(assignment.listSeats(["team"], 100).find(({ seat }) => seat === 0)).toMatchObject({ isHeld: true, formers: [] });
});

it("would fail if the seat of a team that the configuration adds waited for VMs, although all know this VM", () => {
    const assignment = createAssignment(FIRST, [createList(5, 1, 1)]);
    assignment.listSeats([], 0);
    expect(assignment.listSeats(["team"], LAG_MS)[0]).toMatchObject({ isHeld: true, formers: [] });
});

it("would fail if a VM that is not listed held seats", () => {
    expect(createAssignment("stranger", [MEMBERS]).listSeats(["team"], 0)).toEqual([]);
});
