import { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import { oneWayMs, type ReplayDeployment } from "./ReplayDeployment.ts";
import { routingPolicies, type RoutingPolicy, type WeighedCandidate } from "./routingPolicies.ts";

/** What an entry VM knows of an instance from its holder's last report. */
export interface KnownInstance {
    readonly position: number;
    readonly outstanding: number;
}

/** A position that the primary had at a time. */
export interface PrimarySample {
    readonly position: number;
    readonly sampledAtMs: number;
}

/** A read as the entry sees it. */
export interface ReadNeed {
    readonly sessionPosition: number;
    /** Time since the session's last write was acknowledged. */
    readonly sinceWriteMs: number;
    readonly maximumAgeMs: number | undefined;
    readonly answerBytes: number;
}

const DEFAULT_SERVICE_TIME_MS = 20;
const SAMPLE_LIMIT = 100;

/** An entry VM: its reports on the instances, its own outstanding requests and its choice. */
export class EntryModel {
    readonly known = new Map<string, KnownInstance>();
    readonly knowledge = RoutingStatistics.create();
    private readonly samples: PrimarySample[] = [];

    private constructor(
        private readonly deployment: ReplayDeployment,
        readonly vm: string,
        private readonly policy: RoutingPolicy,
        private readonly random: () => number,
        private readonly linkUse: (failureDomain: string, nowMs: number) => number,
    ) {}

    static create(
        deployment: ReplayDeployment,
        vm: string,
        policy: RoutingPolicy,
        random: () => number,
        linkUse: (failureDomain: string, nowMs: number) => number,
    ): EntryModel {
        return new EntryModel(deployment, vm, policy, random, linkUse);
    }

    addPrimarySample(sample: PrimarySample): void {
        this.samples.push(sample);
        if (this.samples.length > SAMPLE_LIMIT) {
            this.samples.shift();
        }
    }

    get failureDomain(): string {
        return this.deployment.vms[this.vm]!;
    }

    /** @returns undefined when no replica is known to cover the read */
    chooseReplica(read: ReadNeed, primary: string, excluded: ReadonlySet<string>, nowMs: number): string | undefined {
        const candidates = Object.keys(this.deployment.instances)
            .filter(name => name !== primary && !excluded.has(name) && this.covers(name, read, nowMs))
            .map(name => this.toCandidate(name, read, nowMs));
        return candidates.length === 0 ? undefined : routingPolicies[this.policy](candidates, this.random).instance;
    }

    /** Whether the last reports prove that the instance covers the read. */
    private covers(instance: string, read: ReadNeed, nowMs: number): boolean {
        const known = this.known.get(instance);
        if (known === undefined) {
            return false;
        }
        if (known.position < read.sessionPosition && !this.knowledge.expectsReplayed(instance, read.sinceWriteMs)) {
            return false;
        }
        return read.maximumAgeMs === undefined || this.provenAgeMs(known, nowMs) <= read.maximumAgeMs;
    }

    /** Age of the newest primary position that the instance is known to hold. */
    private provenAgeMs(known: KnownInstance, nowMs: number): number {
        const sample = this.samples.findLast(({ position }) => position <= known.position);
        return sample === undefined ? Infinity : nowMs - sample.sampledAtMs;
    }

    private toCandidate(instance: string, read: ReadNeed, nowMs: number): WeighedCandidate {
        const { deployment, failureDomain } = this;
        const target = deployment.instances[instance]!;
        const isPaid = deployment.regions[target] !== deployment.regions[failureDomain];
        return {
            instance,
            outstanding: Math.max(this.known.get(instance)?.outstanding ?? 0, this.knowledge.outstandingOf(instance)),
            slots: deployment.slots,
            connections: deployment.connections,
            serviceTimeMs: DEFAULT_SERVICE_TIME_MS,
            roundTripMs: 2 * oneWayMs(deployment, failureDomain, target),
            linkUse: isPaid ? this.linkUse(target, nowMs) : 0,
            linkShare: isPaid ? read.answerBytes / deployment.approvedBytesPerSecond : 0,
        };
    }
}
