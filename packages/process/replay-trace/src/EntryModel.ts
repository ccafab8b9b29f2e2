import { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import { oneWayMs, type ReplayDeployment } from "./ReplayDeployment.ts";
import { type PolicyCandidate, routingPolicies, type RoutingPolicy } from "./routingPolicies.ts";

/** State of an instance in the last report that an entry VM received from its holder. */
export interface ReportedInstance {
    readonly position: number;
    readonly outstanding: number;
}

/** Position of the primary at a point in time. */
export interface PrimarySample {
    readonly position: number;
    readonly sampledAtMs: number;
}

/** What a read requires of the instance that serves it. */
export interface ReadRequirement {
    readonly sessionPosition: number;
    /** Time since the session's last write was acknowledged. */
    readonly sinceWriteMs: number;
    readonly maximumAgeMs: number | undefined;
    readonly answerBytes: number;
}

const DEFAULT_SERVICE_TIME_MS = 20;
const MAXIMUM_SAMPLES = 100;

/** Model of an entry VM: the reports it has received on the instances, its outstanding requests and its choice of an instance. */
export class EntryModel {
    readonly reportedInstances = new Map<string, ReportedInstance>();
    readonly statistics = RoutingStatistics.create();
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
        if (this.samples.length > MAXIMUM_SAMPLES) {
            this.samples.shift();
        }
    }

    get failureDomain(): string {
        return this.deployment.vms[this.vm]!;
    }

    /** @returns undefined when no replica is known to be fresh enough for the read */
    chooseReplica(read: ReadRequirement, primary: string, excluded: ReadonlySet<string>, nowMs: number): string | undefined {
        const candidates = Object.keys(this.deployment.instances)
            .filter(name => name !== primary && !excluded.has(name) && this.isFreshEnough(name, read, nowMs))
            .map(name => this.toCandidate(name, read, nowMs));
        return candidates.length === 0 ? undefined : routingPolicies[this.policy](candidates, this.random).instance;
    }

    /** Whether the instance is fresh enough for the read, by the last reports and by its expected replication lag. */
    private isFreshEnough(instance: string, read: ReadRequirement, nowMs: number): boolean {
        const known = this.reportedInstances.get(instance);
        if (known === undefined) {
            return false;
        }
        if (known.position < read.sessionPosition && !this.statistics.expectsReplayed(instance, read.sinceWriteMs)) {
            return false;
        }
        return read.maximumAgeMs === undefined || this.provenAgeMs(known, nowMs) <= read.maximumAgeMs;
    }

    /** Age of the newest primary sample that the instance is known to have replayed. */
    private provenAgeMs(known: ReportedInstance, nowMs: number): number {
        const sample = this.samples.findLast(({ position }) => position <= known.position);
        return sample === undefined ? Infinity : nowMs - sample.sampledAtMs;
    }

    private toCandidate(instance: string, read: ReadRequirement, nowMs: number): PolicyCandidate {
        const { deployment, failureDomain } = this;
        const target = deployment.instances[instance]!;
        const isPaid = deployment.regions[target] !== deployment.regions[failureDomain];
        return {
            instance,
            outstanding: Math.max(this.reportedInstances.get(instance)?.outstanding ?? 0, this.statistics.outstandingOf(instance)),
            slots: deployment.slots,
            connections: deployment.connections,
            serviceTimeMs: DEFAULT_SERVICE_TIME_MS,
            roundTripMs: 2 * oneWayMs(deployment, failureDomain, target),
            linkUse: isPaid ? this.linkUse(target, nowMs) : 0,
            linkShare: isPaid ? read.answerBytes / deployment.approvedBytesPerSecond : 0,
        };
    }
}
