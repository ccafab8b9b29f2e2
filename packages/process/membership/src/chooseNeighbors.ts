import { Condition, type Member } from "./Member.ts";

/** Neighbors of a VM in the overlay: those it sends heartbeats to, and those that send it theirs. */
export interface Neighbors {
    readonly outgoing: readonly string[];
    readonly incoming: readonly string[];
}

/** Failure domains besides its own that a VM sends heartbeats to. */
const CROSS_DOMAIN_LINKS = 2;

/** The members of one failure domain that are not gone, by name. */
type Ring = readonly string[];

/**
 * Chooses the overlay's edges at a VM. Inside a failure domain the VMs form a ring with edges over 1, m and
 * m^2 places, m being the cube root of its size, so that a change reaches all in about 1.5 m hops; each VM
 * has one more edge to a VM of each of two other failure domains. The number of edges does not grow with
 * the fleet.
 */
export const chooseNeighbors = (self: Member, others: Iterable<Member>): Neighbors => {
    const rings = groupByDomain([self, ...others]);
    const outgoing = new Set(targetsOf(self.vm, self.failureDomain, rings));
    const incoming = new Set<string>();
    const own = rings.get(self.failureDomain)!;
    for (const offset of ringOffsets(own.length)) {
        incoming.add(own[(own.indexOf(self.vm) - offset + own.length) % own.length]!);
    }
    for (const [failureDomain, ring] of rings) {
        if (failureDomain !== self.failureDomain) {
            ring.filter((_vm, index) => crossTargets(failureDomain, index, rings).includes(self.vm)).forEach(vm => incoming.add(vm));
        }
    }
    return { outgoing: [...outgoing], incoming: [...incoming] };
};

const groupByDomain = (members: readonly Member[]): Map<string, Ring> => {
    const rings = new Map<string, string[]>();
    for (const { vm, failureDomain, condition } of members) {
        if (condition !== Condition.Gone) {
            rings.set(failureDomain, [...(rings.get(failureDomain) ?? []), vm]);
        }
    }
    return new Map([...rings].sort(([left], [right]) => (left < right ? -1 : 1)).map(([name, ring]) => [name, ring.sort()]));
};

const ringOffsets = (size: number): readonly number[] => {
    const step = Math.ceil(Math.cbrt(size));
    return [...new Set([1, step, step * step].map(offset => offset % size))].filter(offset => offset > 0);
};

const targetsOf = (vm: string, failureDomain: string, rings: ReadonlyMap<string, Ring>): string[] => {
    const ring = rings.get(failureDomain)!;
    const index = ring.indexOf(vm);
    return [
        ...ringOffsets(ring.length).map(offset => ring[(index + offset) % ring.length]!),
        ...crossTargets(failureDomain, index, rings),
    ];
};

/** The VM at `index` of a domain's ring is joined to the VM at the same place of the next domains. */
const crossTargets = (failureDomain: string, index: number, rings: ReadonlyMap<string, Ring>): string[] => {
    const domains = [...rings.keys()];
    const position = domains.indexOf(failureDomain);
    const others = domains.length - 1;
    return Array.from({ length: Math.min(CROSS_DOMAIN_LINKS, others) }, (_each, link) => {
        const step = 1 + (index + link) % others;
        const ring = rings.get(domains[(position + step) % domains.length]!)!;
        return ring[index % ring.length]!;
    });
};
