import { Condition, type Member } from "./Member.ts";

/** Neighbors of a VM in the overlay network: VMs to which it sends heartbeats, and VMs from which it gets them. */
export interface Neighbors {
    readonly outgoing: readonly string[];
    readonly incoming: readonly string[];
}

/** Number of other failure domains to which a VM sends heartbeats. */
const CROSS_DOMAIN_LINKS = 2;

/** Members of one failure domain that are not gone, sorted by name. */
type Ring = readonly string[];

/**
 * Chooses the edges of a VM in the overlay network. The VMs of a failure domain form a ring with edges over 1, m
 * and m^2 positions, where m is the cube root of the ring's size, so that a change reaches all VMs in about 1.5 m
 * hops. Each VM also has one edge to a VM in each of two other failure domains. The number of edges per VM does
 * not grow with the number of VMs.
 */
export const chooseNeighbors = (self: Member, others: Iterable<Member>): Neighbors => {
    const rings = groupByDomain([self, ...others]);
    const outgoing = new Set(targetsOf(self.vm, self.failureDomain, rings));
    const incoming = new Set<string>();
    const ownRing = rings.get(self.failureDomain)!;
    for (const offset of ringOffsets(ownRing.length)) {
        incoming.add(ownRing[(ownRing.indexOf(self.vm) - offset + ownRing.length) % ownRing.length]!);
    }
    for (const [failureDomain, ring] of rings) {
        if (failureDomain !== self.failureDomain) {
            ring.filter((_vm, index) => crossDomainTargets(failureDomain, index, rings).includes(self.vm)).forEach(vm => incoming.add(vm));
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
        ...crossDomainTargets(failureDomain, index, rings),
    ];
};

/** Returns the targets in other failure domains of the VM at `index` of its ring: the VMs at the same index of the other rings. */
const crossDomainTargets = (failureDomain: string, index: number, rings: ReadonlyMap<string, Ring>): string[] => {
    const domains = [...rings.keys()];
    const position = domains.indexOf(failureDomain);
    const others = domains.length - 1;
    return Array.from({ length: Math.min(CROSS_DOMAIN_LINKS, others) }, (_each, link) => {
        const step = 1 + (index + link) % others;
        const ring = rings.get(domains[(position + step) % domains.length]!)!;
        return ring[index % ring.length]!;
    });
};
