import { type ConfigurationOptions, createConfigurationRow } from "@pomeloturn/platform/support/configurationRow";
import { LineGroup } from "@pomeloturn/platform/support/LineGroup";
import { OrderServer } from "@pomeloturn/platform/support/OrderServer";
import { CONFIGURATION_KEY, INSTANCE_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import { RestorableStore } from "../../support/RestorableStore.ts";
import { SilentLink } from "../../support/SilentLink.ts";
import { EntryProcess, type EntryProcessOptions } from "./EntryProcess.ts";

export const SERVICE = "ledger";
export const TIMEOUT_MS = 800;

export interface EntryDeploymentOptions {
    readonly instanceIds?: readonly string[];
    readonly syncReplicas?: number;
    readonly areFencesChecked?: boolean;
    readonly timeoutMs?: number;
    /** Configuration beyond one service; see `createConfigurationRow`. */
    readonly configuration?: ConfigurationOptions;
}

/** A store, an interface for orders and a database group, for processes of the platform's entry. Each process has a link to the store of its own. */
export class EntryDeployment {
    readonly vms: EntryProcess[] = [];
    /** Links of the VMs to the store, in the order of `vms`. */
    readonly storeLinks: SilentLink[] = [];
    private readonly links: SilentLink[] = [];
    private readonly options: EntryProcessOptions[] = [];
    private startedCount = 0;

    private constructor(
        readonly store: RestorableStore,
        readonly group: LineGroup,
        readonly orders: OrderServer,
        private readonly areFencesChecked: boolean,
    ) {}

    static async create(
        { instanceIds = ["a", "b", "c"], syncReplicas = 0, areFencesChecked = true, ...options }: EntryDeploymentOptions = {},
    ): Promise<EntryDeployment> {
        const { timeoutMs = TIMEOUT_MS, configuration } = options;
        const store = await RestorableStore.start();
        const report = (id: string, row: object | undefined): void =>
            row === undefined ? store.delete(INSTANCE_TABLE, id) : store.write(INSTANCE_TABLE, id, row);
        const group = new LineGroup(SERVICE, syncReplicas, report);
        const orders = await OrderServer.start(areFencesChecked, ({ id }) => void group.promote(id));
        for (const id of instanceIds) {
            await group.add(id);
        }
        store.write(OPERATOR_TABLE, CONFIGURATION_KEY, createConfigurationRow(SERVICE, timeoutMs, { syncReplicas, ...configuration }));
        return new EntryDeployment(store, group, orders, areFencesChecked);
    }

    /** Starts a VM and waits until it is ready. */
    async startVm(options: Partial<EntryProcessOptions> = {}): Promise<EntryProcess> {
        const index = this.startedCount++;
        const storeLink = await this.openLink(this.store.address);
        this.storeLinks[index] = storeLink;
        this.options[index] = {
            vm: `vm-${index}`,
            storeAddress: storeLink.address,
            ordersAddress: this.orders.address,
            areFencesChecked: this.areFencesChecked,
            ...options,
        };
        return this.restartVm(index);
    }

    /** Starts a VM again whose process has ended, and waits until it is ready. */
    async restartVm(index: number): Promise<EntryProcess> {
        const vm = await this.respawnVm(index);
        await vm.waitUntilReady();
        return vm;
    }

    /** Starts a VM again whose process has ended. */
    async respawnVm(index: number): Promise<EntryProcess> {
        const vm = await EntryProcess.spawn(this.options[index]!);
        this.vms[index] = vm;
        return vm;
    }

    /** Writes the next configuration into the store. */
    configure(configuration: ConfigurationOptions): void {
        this.store.write(OPERATOR_TABLE, CONFIGURATION_KEY, createConfigurationRow(SERVICE, TIMEOUT_MS, configuration));
    }

    /** Opens a link to a server, which is closed with the deployment. @param address "host:port" */
    async openLink(address: string): Promise<SilentLink> {
        const link = await SilentLink.start(address);
        this.links.push(link);
        return link;
    }

    close(): void {
        this.vms.forEach(vm => vm.kill());
        this.links.forEach(link => link.close());
        this.orders.close();
        this.group.close();
        this.store.close();
    }
}
