import type { ControllerVm, DatabaseControl, GroupLeadership, LeaseService } from "@pomeloturn/types/Leadership";

const PROBE_INTERVAL_MS = 500;
const LEASE_MS = 3_000;

/** Leadership by probing alone, without witnesses or promotion: the first VM by name holds every primary. */
export class UnwitnessedLeases implements LeaseService {
    private groups: Readonly<Record<string, Readonly<Record<string, string>>>> = {};
    private vms: readonly ControllerVm[] = [];
    private readonly found = new Map<string, GroupLeadership>();
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly vm: string,
        private readonly database: DatabaseControl,
        private readonly nowMs: () => number,
        private readonly onChange: () => void,
    ) {
        this.timer = setInterval(() => void this.probe(), PROBE_INTERVAL_MS);
    }

    static create(vm: string, database: DatabaseControl, nowMs: () => number, onChange: () => void): UnwitnessedLeases {
        return new UnwitnessedLeases(vm, database, nowMs, onChange);
    }

    setGroups(groups: Readonly<Record<string, Readonly<Record<string, string>>>>): void {
        this.groups = groups;
    }

    setVms(vms: readonly ControllerVm[]): void {
        this.vms = vms;
    }

    receive(): void {}

    reportInstance(): void {}

    leadership(): ReadonlyMap<string, GroupLeadership> {
        return this.found;
    }

    promote(): Promise<number> {
        return Promise.reject(new Error("promotion needs witnesses"));
    }

    release(): Promise<void> {
        return Promise.resolve();
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async probe(): Promise<void> {
        const holder = this.vms.filter(({ isLeaving }) => !isLeaving).map(({ vm }) => vm).sort()[0];
        for (const [group, instances] of Object.entries(this.groups)) {
            const probes = await Promise.allSettled(
                Object.keys(instances).map(async instance => ({
                    instance,
                    probe: await this.database.probe(group, instance),
                })),
            );
            const primary = probes.find(each => each.status === "fulfilled" && !each.value.probe.isReplica);
            if (primary?.status === "fulfilled" && holder !== undefined) {
                this.found.set(group, this.describe(group, primary.value.instance, holder));
                this.onChange();
            }
        }
    }

    private describe(group: string, primary: string, holder: string): GroupLeadership {
        return {
            group,
            rowVersion: 1,
            term: 1,
            primary,
            holder,
            history: [{ term: 1, position: 0 }],
            witnesses: [],
            leaseExpiresAtMs: holder === this.vm ? this.nowMs() + LEASE_MS : undefined,
        };
    }
}
