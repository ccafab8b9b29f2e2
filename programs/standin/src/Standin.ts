import type { ListedVm } from "@pomeloturn/types/Platform";
import { DatabaseGroup } from "./database/DatabaseGroup.ts";
import type { DatabaseInstance, InstanceFaults } from "./database/DatabaseInstance.ts";
import { InstanceServer } from "./database/InstanceServer.ts";
import { PlatformServer } from "./platform/PlatformServer.ts";
import { type PlatformFaults, PlatformState } from "./platform/PlatformState.ts";
import type { StandinSettings } from "./StandinSettings.ts";

/** Body of `POST /faults`. Sets the given faults and keeps the others. */
export interface FaultRequest {
    /** Group and instance to which `instanceFaults` and `rebuildFrom` apply. */
    readonly group?: string;
    readonly instance?: string;
    readonly instanceFaults?: Partial<InstanceFaults>;
    /** Name of the instance of which this one becomes a new, empty replica. */
    readonly rebuildFrom?: string;
    readonly platformFaults?: Partial<PlatformFaults>;
    /** Replaces the platform's VM list. */
    readonly vms?: readonly ListedVm[];
}

/** Simulates the platform's services and the database groups, each behind its own server, in one process. */
export class Standin {
    readonly platform = PlatformState.create();
    readonly groups: ReadonlyMap<string, DatabaseGroup>;
    private readonly servers: InstanceServer[] = [];
    private readonly platformServer: PlatformServer;

    private constructor(settings: StandinSettings, private readonly nowMs: () => number) {
        this.platform.vms = settings.vms;
        this.groups = new Map(settings.groups.map(group => [group.name, DatabaseGroup.create(group, nowMs)]));
        this.platformServer = PlatformServer.create(this.platform, fault => this.applyFault(fault as FaultRequest));
    }

    /** Starts the platform's server and a server for each instance. @param nowMs monotonic time in milliseconds */
    static async create(settings: StandinSettings, nowMs: () => number): Promise<Standin> {
        const standin = new Standin(settings, nowMs);
        await standin.platformServer.listen(settings.platformHost, settings.platformPort);
        for (const group of standin.groups.values()) {
            await standin.startServers(group);
        }
        return standin;
    }

    /** Sets faults. @returns the numbers of reads and write transactions of the table service so far */
    applyFault(fault: FaultRequest): { readonly readCount: number; readonly writeCount: number; } {
        Object.assign(this.platform.faults, fault.platformFaults);
        this.platform.vms = fault.vms ?? this.platform.vms;
        const instance = this.findInstance(fault.group, fault.instance);
        if (instance !== undefined) {
            Object.assign(instance.faults, fault.instanceFaults);
            instance.onFaultsChanged();
            if (fault.rebuildFrom !== undefined) {
                instance.rebuild(fault.rebuildFrom);
            }
        }
        const { readCount, writeCount } = this.platform;
        return { readCount, writeCount };
    }

    findInstance(group: string | undefined, instance: string | undefined): DatabaseInstance | undefined {
        return this.groups.get(group ?? "")?.instances.get(instance ?? "");
    }

    close(): void {
        this.platformServer.close();
        this.servers.forEach(server => server.close());
        for (const group of this.groups.values()) {
            group.close();
        }
    }

    private async startServers(group: DatabaseGroup): Promise<void> {
        for (const [name, port] of Object.entries(group.settings.instances)) {
            const server = InstanceServer.create(group.instances.get(name)!, this.nowMs);
            this.servers.push(server);
            await server.listen(group.settings.host, port);
        }
    }
}
