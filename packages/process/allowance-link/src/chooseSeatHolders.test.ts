import { hashText } from "@pomeloturn/membership/hash";
import { describe, expect, it } from "vitest";
import { chooseSeatHolders, type SeatMember } from "./chooseSeatHolders.ts";

const createMembers = (count: number, regions: readonly string[]): SeatMember[] =>
    Array.from({ length: count }, (_value, index) => ({
        vm: `vm-${index}`,
        region: regions[index % regions.length]!,
        hash: hashText(`vm-${index}`),
    }));

const listHolders = (team: string, members: readonly SeatMember[]): (string | undefined)[] =>
    chooseSeatHolders(hashText(team), members).map(({ holder }) => holder?.vm);

describe("chooseSeatHolders", () => {
    it("would fail if a VM had two seats of a team, or a region none", () => {
        const members = createMembers(12, ["east", "west"]);
        const regionOf = new Map(members.map(({ vm, region }) => [vm, region]));
        const holders = listHolders("team", members);
        expect(new Set(holders).size).toBe(4);
        expect(holders.map(vm => regionOf.get(vm!))).toEqual(["east", "west", "east", "west"]);
    });

    it("would fail if VMs that list the same members in another order disagreed", () => {
        const members = createMembers(12, ["east", "west"]);
        expect(listHolders("team", [...members].reverse())).toEqual(listHolders("team", members));
    });

    it("would fail if the departure of a VM moved seats that it did not hold", () => {
        const members = createMembers(30, ["east", "west"]);
        const holders = listHolders("team", members);
        const remaining = members.filter(({ vm }) => vm !== holders[0]);
        expect(listHolders("team", remaining).slice(1)).toEqual(holders.slice(1));
        expect(listHolders("team", remaining)[0]).toBe(chooseSeatHolders(hashText("team"), members)[0]!.next?.vm);
    });

    it("would fail if most teams had the same holders", () => {
        const members = createMembers(30, ["east", "west"]);
        const holders = new Set(Array.from({ length: 79 }, (_value, index) => listHolders(`team-${index}`, members)[0]));
        expect(holders.size).toBeGreaterThan(10);
    });

    it.each([[0, 0], [1, 1], [3, 3]])("has a holder for each seat with %i VMs", (count, expected) => {
        const holders = listHolders("team", createMembers(count, ["east"]));
        expect(holders).toHaveLength(4);
        expect(new Set(holders.filter(holder => holder !== undefined)).size).toBe(expected);
    });
});
