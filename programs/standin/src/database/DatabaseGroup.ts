import { DatabaseInstance } from "./DatabaseInstance.ts";

const REPLICATION_INTERVAL_MS = 2;

/** Settings of a simulated database group. */
export interface DatabaseGroupSettings {
    readonly name: string;
    readonly host: string;
    readonly primary: string;
    /** TCP port of each instance, by name. */
    readonly instances: Readonly<Record<string, number>>;
    readonly replicationLagMs: number;
    /** Time for which each statement occupies a slot. */
    readonly statementTimeMs: number;
    /** Maximum number of statements that run concurrently on an instance. */
    readonly slots: number;
}

/** Simulated primary and replicas with asynchronous replication. */
export class DatabaseGroup {
    readonly instances: ReadonlyMap<string, DatabaseInstance>;
    private readonly timer: NodeJS.Timeout;

    private constructor(readonly settings: DatabaseGroupSettings, private readonly nowMs: () => number) {
        const { slots, statementTimeMs, primary } = settings;
        this.instances = new Map(
            Object.keys(settings.instances).map(name => [name, DatabaseInstance.create(name, slots, statementTimeMs, primary)]),
        );
        this.timer = setInterval(() => this.replicate(), REPLICATION_INTERVAL_MS);
    }

    static create(settings: DatabaseGroupSettings, nowMs: () => number): DatabaseGroup {
        return new DatabaseGroup(settings, nowMs);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private replicate(): void {
        for (const instance of this.instances.values()) {
            const upstream = this.instances.get(instance.upstream);
            if (instance.isReplica && !instance.faults.isStopped && upstream !== undefined) {
                instance.replicate(upstream, this.settings.replicationLagMs, this.nowMs());
            }
        }
    }
}
