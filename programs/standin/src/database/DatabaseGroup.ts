import { DatabaseInstance } from "./DatabaseInstance.ts";

const REPLICATION_INTERVAL_MS = 2;

/** Settings of a database group of the stand-in. */
export interface DatabaseGroupSettings {
    readonly name: string;
    readonly host: string;
    readonly primary: string;
    /** Port of each instance, by name. */
    readonly instances: Readonly<Record<string, number>>;
    readonly replicationLagMs: number;
    readonly statementTimeMs: number;
    readonly slots: number;
}

/** A primary and its replicas, with asynchronous replication. */
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
