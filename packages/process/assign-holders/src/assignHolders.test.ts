import type { Configuration } from "@pomeloturn/types/Configuration";
import { VmState, type VmView } from "@pomeloturn/types/ControlView";
import fc from "fast-check";
import { expect, it } from "vitest";
import { assignHolders, type Holders } from "./assignHolders.ts";

const SEED = 5_102;
const DOMAINS = ["cluj-a", "cluj-b", "buc-a"];

const configuration = {
    failureDomains: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" },
    groups: Object.fromEntries(
        Array.from({ length: 20 }, (_each, index) => [`group-${index}`, {
            instances: Object.fromEntries(DOMAINS.map(failureDomain => [`in-${failureDomain}`, { failureDomain }])),
        }]),
    ),
} as unknown as Configuration;

const createVms = (count: number, states: Readonly<Record<number, VmState>> = {}): Record<string, VmView> =>
    Object.fromEntries(
        Array.from({ length: count }, (_each, index) => [`vm-${index}`, {
            host: "",
            peerPort: 1,
            controllerPort: 1,
            failureDomain: DOMAINS[index % DOMAINS.length]!,
            state: states[index] ?? VmState.Live,
        }]),
    );

const flatten = (holders: Holders): [key: string, vm: string][] =>
    Object.entries(holders).flatMap(([group, each]) =>
        Object.entries(each).map(([instance, vm]) => [`${group}/${instance}`, vm] as [string, string])
    );

it("prefers the instance's failure domain, then its region, then any VM", () => {
    const vms = createVms(6);
    expect(flatten(assignHolders(configuration, vms)).every(([key, vm]) => key.endsWith(`in-${vms[vm]!.failureDomain}`))).toBe(true);
    const withoutFirst = flatten(assignHolders(configuration, createVms(6, { 0: VmState.Gone, 3: VmState.Leaving })));
    const moved = withoutFirst.filter(([key]) => key.endsWith("in-cluj-a")).map(([, vm]) => vms[vm]!.failureDomain);
    expect(new Set(moved)).toEqual(new Set(["cluj-b"]));
    const onlySouth = assignHolders(configuration, createVms(3, { 0: VmState.Gone, 1: VmState.Gone }));
    expect(new Set(flatten(onlySouth).map(([, vm]) => vm))).toEqual(new Set(["vm-2"]));
    expect(flatten(assignHolders(configuration, {}))).toEqual([]);
});

it("moves only the instances of the VM that leaves", () => {
    fc.assert(
        fc.property(fc.integer({ min: 4, max: 30 }), fc.nat(29), (count, gone) => {
            const before = flatten(assignHolders(configuration, createVms(count)));
            const after = new Map(flatten(assignHolders(configuration, createVms(count, { [gone % count]: VmState.Leaving }))));
            for (const [key, vm] of before) {
                expect(after.get(key) === vm || vm === `vm-${gone % count}`).toBe(true);
            }
        }),
        { seed: SEED, numRuns: 300 },
    );
});
