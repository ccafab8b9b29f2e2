import { describe, expect, it } from "vitest";
import { chooseRelay, orderRelays } from "./chooseRelay.ts";
import type { RelayMember } from "./RelayMember.ts";

const DOMAIN = "north-a";
const createMembers = (count: number): RelayMember[] =>
    Array.from({ length: count }, (_each, index) => ({ vm: `vm-${index}`, failureDomain: DOMAIN, relayAddress: `10.0.0.${index}:7441` }));

const NONE_FAILED = new Map<string, number>();

describe("choice of a relay", () => {
    it("makes one VM of a large failure domain read the store", () => {
        const ordered = orderRelays(createMembers(40), DOMAIN);
        const sources = ordered.map(({ vm }) => chooseRelay(ordered, vm, NONE_FAILED, 0));
        expect(sources.filter(({ kind }) => kind === "relaying")).toHaveLength(1);
        expect(sources.filter(({ kind }) => kind === "relay")).toHaveLength(39);
    });

    it("lets each VM of a small failure domain read the store for itself", () => {
        const ordered = orderRelays(createMembers(3), DOMAIN);
        expect(ordered.map(({ vm }) => chooseRelay(ordered, vm, NONE_FAILED, 0).kind)).toEqual(["store", "store", "store"]);
    });

    it("gives the same order for each order of the list, and leaves out other domains and VMs without a relay", () => {
        const members = createMembers(10);
        const others = [{ vm: "far", failureDomain: "south-a", relayAddress: "10.1.0.1:7441" }, {
            vm: "old",
            failureDomain: DOMAIN,
            relayAddress: undefined,
        }];
        expect(orderRelays([...others, ...[...members].reverse()], DOMAIN)).toEqual(orderRelays(members, DOMAIN));
    });

    it("never makes two VMs ask each other, whichever VMs each believes to have failed", () => {
        const ordered = orderRelays(createMembers(6), DOMAIN);
        const names = ordered.map(({ vm }) => vm);
        for (let pattern = 0; pattern < 1 << names.length; pattern++) {
            const failed = new Map(names.filter((_vm, index) => (pattern >> index & 1) === 1).map(vm => [vm, 100]));
            for (const [index, vm] of names.entries()) {
                const source = chooseRelay(ordered, vm, failed, 50);
                const asked = source.kind === "relay" ? names.indexOf(source.member.vm) : -1;
                expect(asked).toBeLessThan(index);
            }
        }
    });

    it("asks a failed relay again after its time", () => {
        const ordered = orderRelays(createMembers(6), DOMAIN);
        const [first, second, third] = ordered.map(({ vm }) => vm) as [string, string, string];
        const failed = new Map([[first, 1_000]]);
        expect(chooseRelay(ordered, third, failed, 999)).toMatchObject({ member: { vm: second } });
        expect(chooseRelay(ordered, second, failed, 999)).toEqual({ kind: "relaying" });
        expect(chooseRelay(ordered, third, failed, 1_000)).toMatchObject({ member: { vm: first } });
    });

    it("reads the store until the VM itself is listed", () => {
        expect(chooseRelay(orderRelays(createMembers(9), DOMAIN), "new", NONE_FAILED, 0)).toEqual({ kind: "store" });
    });
});
