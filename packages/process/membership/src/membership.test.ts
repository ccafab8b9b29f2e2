import { VmState } from "@pomeloturn/types/ControlView";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { buildVmViews, findLeavingBackends } from "./buildVmViews.ts";
import { chooseNeighbors } from "./chooseNeighbors.ts";
import { Condition, type Member } from "./Member.ts";
import { type MembershipAction, type MembershipEvent, MembershipEventKind } from "./membershipMessages.ts";
import { createMembership, type MembershipState } from "./MembershipState.ts";
import { HEARTBEAT_INTERVAL_MS, stepMembership } from "./stepMembership.ts";

const SEED = 5_101;
const DOMAINS = ["cluj-a", "cluj-b", "buc-a"];
const HOUR_MS = 3_600_000;

const createMember = (index: number, change: Partial<Member> = {}): Member => ({
    vm: `vm-${index}`,
    incarnation: 1,
    sequence: 0,
    condition: Condition.Alive,
    isLeaving: false,
    host: `10.0.0.${index}`,
    peerPort: 1,
    controllerPort: 2,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
    ...change,
});

/** Controllers in virtual time. Messages arrive immediately unless `isLinkCut` returns true for their link. */
class Fleet {
    readonly states = new Map<string, MembershipState>();
    readonly paused = new Set<string>();
    readonly stopped = new Set<string>();
    isLinkCut: (from: string, to: string) => boolean = () => false;
    nowMs = 0;
    sentMemberCount = 0;

    constructor(size: number) {
        for (let index = 0; index < size; index++) {
            this.start(createMember(index));
        }
    }

    start(self: Member): void {
        const state = createMembership(self, this.nowMs);
        this.states.set(self.vm, state);
        this.stopped.delete(self.vm);
        for (const vm of this.states.keys()) {
            this.deliver(self.vm, vm, { kind: MembershipEventKind.Members, from: self.vm, members: [self] });
            this.deliver(vm, self.vm, { kind: MembershipEventKind.Members, from: vm, members: [this.states.get(vm)!.self] });
        }
    }

    dispatch(vm: string, event: MembershipEvent): void {
        this.execute(vm, stepMembership(this.states.get(vm)!, event, this.nowMs));
    }

    run(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs += HEARTBEAT_INTERVAL_MS;
            for (const vm of this.states.keys()) {
                if (this.isRunning(vm)) {
                    this.dispatch(vm, { kind: MembershipEventKind.Tick });
                }
            }
        }
    }

    /** Returns the state of `vm` in the view of `at`. */
    stateSeenBy(at: string, vm: string): VmState | undefined {
        return buildVmViews(this.states.get(at)!, this.nowMs)[vm]?.state;
    }

    applyListing(at: string, vms: readonly string[], leaving: readonly string[] = []): void {
        const listed = vms.map(name => ({
            name,
            host: `host-${name}`,
            failureDomain: DOMAINS[0]!,
            isLeaving: leaving.includes(name),
        }));
        this.dispatch(at, { kind: MembershipEventKind.Listed, vms: listed });
    }

    private isRunning(vm: string): boolean {
        return !this.paused.has(vm) && !this.stopped.has(vm);
    }

    private deliver(from: string, to: string, event: MembershipEvent): void {
        if (from !== to && this.isRunning(to) && this.states.has(to) && !this.isLinkCut(from, to)) {
            this.dispatch(to, event);
        }
    }

    private execute(from: string, actions: readonly MembershipAction[]): void {
        for (const action of actions) {
            const event = toEvent(from, action);
            if (event !== undefined && "vm" in action) {
                this.sentMemberCount += action.kind === "sendMembers" ? action.members.length : 0;
                this.deliver(from, action.vm, event);
            }
        }
    }
}

const toEvent = (from: string, action: MembershipAction): MembershipEvent | undefined => {
    const events: { readonly [Kind in MembershipAction["kind"]]?: () => MembershipEvent; } = {
        sendHeartbeat: () => ({
            kind: "heartbeat",
            from,
            heartbeat: (action as Extract<MembershipAction, { kind: "sendHeartbeat"; }>).heartbeat,
        }),
        sendMembers: () => ({ kind: "members", from, members: (action as Extract<MembershipAction, { kind: "sendMembers"; }>).members }),
        requestMembers: () => ({
            kind: "membersRequest",
            from,
            failureDomain: (action as Extract<MembershipAction, { kind: "requestMembers"; }>).failureDomain,
        }),
        sendListing: () => ({
            kind: "listingChange",
            from,
            change: (action as Extract<MembershipAction, { kind: "sendListing"; }>).change,
        }),
        requestListing: () => ({ kind: "listingRequest", from }),
    };
    return events[action.kind]?.();
};

const statesSeenByOthers = (
    fleet: Fleet,
    vm: string,
): (VmState | undefined)[] => [
    ...new Set([...fleet.states.keys()].filter(at => at !== vm && !fleet.stopped.has(at)).map(at => fleet.stateSeenBy(at, vm))),
];

describe("membership", () => {
    it.each([3, 6, 8, 40])("with %i VMs, marks a failed one as gone within 5 s and detects its return with a new incarnation", size => {
        const fleet = new Fleet(size);
        fleet.run(5_000);
        expect(statesSeenByOthers(fleet, "vm-1")).toEqual([VmState.Live]);
        fleet.stopped.add("vm-1");
        fleet.run(5_000);
        expect(statesSeenByOthers(fleet, "vm-1")).toEqual([VmState.Gone]);
        fleet.start(createMember(1, { incarnation: 2 }));
        fleet.run(1_000);
        expect(statesSeenByOthers(fleet, "vm-1")).toEqual([VmState.Live]);
    });

    it("informs all VMs immediately that a VM is leaving", () => {
        const fleet = new Fleet(8);
        fleet.run(3_000);
        fleet.dispatch("vm-3", { kind: MembershipEventKind.Leave });
        expect(statesSeenByOthers(fleet, "vm-3")).toEqual([VmState.Leaving]);
    });

    it("does not suspect a VM that pauses for 1 s, nor does the paused one suspect others", () => {
        const fleet = new Fleet(8);
        fleet.run(5_000);
        fleet.paused.add("vm-2");
        fleet.run(1_000);
        fleet.paused.delete("vm-2");
        fleet.run(5_000);
        expect([...fleet.states.values()].map(({ self }) => self.sequence)).toEqual(Array(8).fill(0));
    });

    it("accepts a VM again after a pause of a minute", () => {
        const fleet = new Fleet(8);
        fleet.run(5_000);
        fleet.paused.add("vm-2");
        fleet.run(60_000);
        expect(statesSeenByOthers(fleet, "vm-2").includes(VmState.Live)).toBe(false);
        fleet.paused.delete("vm-2");
        fleet.run(10_000);
        expect(statesSeenByOthers(fleet, "vm-2")).toEqual([VmState.Live]);
    });

    it("keeps a VM whose heartbeats do not reach one neighbor, and sends fewer and fewer messages about it", () => {
        const fleet = new Fleet(8);
        fleet.run(5_000);
        const [from, to] = ["vm-2", fleet.states.get("vm-2")!.neighbors.outgoing[0]!];
        fleet.isLinkCut = (sender, receiver) => sender === from && receiver === to;
        fleet.run(60_000);
        expect(statesSeenByOthers(fleet, from)).toEqual([VmState.Live]);
        fleet.sentMemberCount = 0;
        fleet.run(120_000);
        expect(fleet.sentMemberCount).toBeLessThan(8 * 8 * 2 * 8);
    });

    it("separates the sides of a partition and joins them after its end", () => {
        const fleet = new Fleet(9);
        fleet.run(5_000);
        const isSouth = (vm: string): boolean => fleet.states.get(vm)!.self.failureDomain === "buc-a";
        fleet.isLinkCut = (from, to) => isSouth(from) !== isSouth(to);
        fleet.run(HOUR_MS);
        expect(fleet.stateSeenBy("vm-0", "vm-2")).toBe(VmState.Gone);
        expect(fleet.stateSeenBy("vm-2", "vm-0")).toBe(VmState.Gone);
        expect(fleet.stateSeenBy("vm-0", "vm-1")).toBe(VmState.Live);
        expect(fleet.stateSeenBy("vm-2", "vm-5")).toBe(VmState.Live);
        fleet.isLinkCut = () => false;
        fleet.run(30_000);
        for (const vm of fleet.states.keys()) {
            expect(statesSeenByOthers(fleet, vm)).toEqual([VmState.Live]);
        }
    });

    it("requires both the list and heartbeats for a live VM, but only heartbeats in a store outage of an hour", () => {
        const fleet = new Fleet(3);
        fleet.run(2_000);
        fleet.applyListing("vm-0", ["vm-0", "vm-1"]);
        expect([fleet.stateSeenBy("vm-0", "vm-1"), fleet.stateSeenBy("vm-0", "vm-2")]).toEqual([VmState.Live, VmState.Leaving]);
        fleet.applyListing("vm-0", ["vm-0", "vm-1", "vm-2"], ["vm-1"]);
        expect([fleet.stateSeenBy("vm-0", "vm-1"), fleet.stateSeenBy("vm-0", "vm-2")]).toEqual([VmState.Leaving, VmState.Live]);
        fleet.run(HOUR_MS);
        expect([fleet.stateSeenBy("vm-0", "vm-1"), fleet.stateSeenBy("vm-0", "vm-2")]).toEqual([VmState.Leaving, VmState.Live]);
    });

    it("ignores a list that names no VM that is alive", () => {
        const fleet = new Fleet(3);
        fleet.applyListing("vm-0", []);
        expect(fleet.stateSeenBy("vm-0", "vm-1")).toBe(VmState.Live);
    });

    it("informs all VMs of a failure domain immediately that a backend VM is leaving", () => {
        const fleet = new Fleet(9);
        fleet.run(2_000);
        fleet.applyListing("vm-0", ["vm-0", "database-1"]);
        fleet.run(2_000);
        fleet.applyListing("vm-0", ["vm-0", "database-1"], ["database-1"]);
        for (const at of ["vm-0", "vm-3", "vm-6"]) {
            expect([...findLeavingBackends(fleet.states.get(at)!)]).toEqual(["host-database-1 cluj-a"]);
        }
    });

    it("marks a VM as gone when a VM with another name has taken over its address", () => {
        const fleet = new Fleet(4);
        fleet.run(2_000);
        fleet.stopped.add("vm-1");
        fleet.start(createMember(1, { vm: "vm-9", incarnation: 2 }));
        expect(statesSeenByOthers(fleet, "vm-1")).toEqual([VmState.Gone]);
    });

    it("converges to one view on all VMs after any failures, pauses, shutdowns and returns", () => {
        const step = fc.record({
            vm: fc.nat(7),
            kind: fc.constantFrom("stop", "pause", "resume", "leave", "return"),
            waitMs: fc.nat(6_000),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 12 }), steps => {
                const fleet = new Fleet(8);
                let incarnation = 2;
                for (const { vm: index, kind, waitMs } of steps) {
                    const vm = `vm-${index}`;
                    const operations: Record<string, () => unknown> = {
                        stop: () => fleet.stopped.add(vm),
                        pause: () => fleet.paused.add(vm),
                        resume: () => fleet.paused.delete(vm),
                        leave: () => !fleet.stopped.has(vm) && !fleet.paused.has(vm) && fleet.dispatch(vm, { kind: "leave" }),
                        return: () => fleet.stopped.has(vm) && fleet.start(createMember(index, { incarnation: incarnation++ })),
                    };
                    operations[kind]!();
                    fleet.run(waitMs);
                }
                fleet.paused.clear();
                fleet.run(120_000);
                for (const [vm, { self }] of fleet.states) {
                    const alive = self.isLeaving ? VmState.Leaving : VmState.Live;
                    for (const seen of statesSeenByOthers(fleet, vm)) {
                        expect(seen).toBe(fleet.stopped.has(vm) ? VmState.Gone : alive);
                    }
                }
            }),
            { seed: SEED, numRuns: 300 },
        );
    });
});

describe("chooseNeighbors", () => {
    it.each([1, 2, 3, 8, 150, 450])("gives each of %i VMs at most 5 edges that are known at both ends and connect all VMs", size => {
        const members = Array.from({ length: size }, (_each, index) => createMember(index));
        const neighbors = new Map(members.map(self => [self.vm, chooseNeighbors(self, members.filter(each => each !== self))]));
        for (const [vm, { outgoing }] of neighbors) {
            expect(outgoing.length).toBeLessThanOrEqual(5);
            outgoing.forEach(target => expect(neighbors.get(target)!.incoming).toContain(vm));
        }
        const reached = new Set(["vm-0"]);
        for (const vm of reached) {
            neighbors.get(vm)!.outgoing.forEach(target => reached.add(target));
        }
        expect(reached.size).toBe(size);
    });
});
