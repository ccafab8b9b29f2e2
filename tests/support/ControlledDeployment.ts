import { type GroupRow, groupRowKey } from "@pomeloturn/group-lease/GroupRow";
import { parseGroupRow } from "@pomeloturn/group-lease/groupRowCodec";
import { OperatorClient } from "@pomeloturn/operator-link/OperatorClient";
import { createSampleBundle } from "@pomeloturn/standin/createSampleBundle";
import { findPorts } from "@pomeloturn/standin/findPorts";
import type { ListedVm, TableRow } from "@pomeloturn/types/Platform";
import pg from "pg";
import { ProgramProcess } from "./ProgramProcess.ts";
import { createSmallDeployment, type SmallDeployment } from "./smallDeployment.ts";

const LOCALHOST = "127.0.0.1";
const WAIT_TIMEOUT_MS = 30_000;
const COMMAND_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 50;

/** Controller and proxy process of a VM. */
export interface VmProcesses {
    readonly vm: string;
    readonly callerPort: number;
    controller: ProgramProcess;
    proxy: ProgramProcess;
}

/** Runs a stand-in and `vmCount` VMs with a controller and a proxy each, as processes on free ports of the loopback address. */
export class ControlledDeployment {
    readonly vms: VmProcesses[] = [];
    private standin: ProgramProcess | undefined;
    private readonly clients: pg.Client[] = [];

    private constructor(
        readonly smallDeployment: SmallDeployment,
        private readonly controllerPorts: readonly number[],
        readonly operatorPorts: readonly number[],
    ) {}

    static async create(vmCount: number): Promise<ControlledDeployment> {
        return ControlledDeployment.start(await createSmallDeployment(vmCount, { expiresAtMs: 0 }));
    }

    /** Starts the processes of a deployment. */
    static async start(small: SmallDeployment): Promise<ControlledDeployment> {
        const vmCount = small.proxies.length;
        const ports = await findPorts(vmCount * 2);
        const deployment = new ControlledDeployment(small, ports.slice(0, vmCount), ports.slice(vmCount));
        await deployment.startStandin();
        await Promise.all(small.proxies.map((_each, index) => deployment.startVm(index)));
        return deployment;
    }

    /**
     * Sets faults of the stand-in.
     * @returns the numbers of store operations so far
     */
    async applyFault(fault: object): Promise<{ readonly readCount: number; readonly writeCount: number; }> {
        const response = await fetch(`${this.platformUrl}/faults`, { method: "POST", body: JSON.stringify(fault) });
        return await response.json() as { readCount: number; writeCount: number; };
    }

    /** Calls an operator command of the controller of a VM. @throws when the controller does not answer in time or refuses */
    async runCommand<Result>(index: number, name: string, args: Readonly<Record<string, string>> = {}): Promise<Result> {
        const client = OperatorClient.create(`${LOCALHOST}:${this.operatorPorts[index]}`, COMMAND_TIMEOUT_MS);
        try {
            return await client.call<Result>(name, args);
        }
        finally {
            client.close();
        }
    }

    /** Reads the term of each group from the table service. */
    async readTerms(): Promise<number[]> {
        return (await this.readGroupRows()).map(({ term }) => term);
    }

    /** Finds the index of the VM that holds the primary of the first group; -1 if no VM of the deployment holds it. */
    async findPrimaryHolderIndex(): Promise<number> {
        const [row] = await this.readGroupRows();
        return this.smallDeployment.proxies.findIndex(({ vm }) => vm === row!.holder.vm);
    }

    private async readGroupRows(): Promise<GroupRow[]> {
        const keys = Object.keys(this.smallDeployment.configuration.groups).map(groupRowKey);
        const response = await fetch(`${this.platformUrl}/table/read`, { method: "POST", body: JSON.stringify({ keys }) });
        const rows = await response.json() as readonly TableRow[];
        return rows.map(row => parseGroupRow(row.value)!);
    }

    /** Starts the processes of a VM, also after they have exited. */
    async startVm(index: number): Promise<void> {
        const { vm, callerPort } = this.smallDeployment.proxies[index]!;
        const controller = await this.startController(index);
        this.vms[index] = { vm, callerPort, controller, proxy: await this.startProxy(index) };
    }

    startController(index: number): Promise<ProgramProcess> {
        const address = this.smallDeployment.proxies[index]!;
        const controllerPort = this.controllerPorts[index]!;
        return ProgramProcess.create("controller", {
            vm: address.vm,
            failureDomain: address.failureDomain,
            host: LOCALHOST,
            controllerPort,
            operatorPort: this.operatorPorts[index]!,
            peerPort: address.peerPort,
            seeds: this.controllerPorts.map(port => `${LOCALHOST}:${port}`),
            platformUrl: this.platformUrl,
            drainDeadlineMs: 5_000,
        }, controllerPort);
    }

    startProxy(index: number): Promise<ProgramProcess> {
        const address = this.smallDeployment.proxies[index]!;
        const controllerPort = this.controllerPorts[index]!;
        return ProgramProcess.create("proxy", { ...address, controllerPort, drainDeadlineMs: 5_000 }, address.callerPort);
    }

    /** Connects a caller; retries until the proxy has loaded the configuration of the service. */
    connect(index: number, options = ""): Promise<pg.Client> {
        return this.waitFor(() => this.tryConnect(index, options));
    }

    /**
     * Connects a caller without retries.
     *
     * @param onError called when the connection fails, also when that happens before the returned promise resolves
     */
    async tryConnect(index: number, options = "", onError: () => void = () => undefined): Promise<pg.Client> {
        const client = new pg.Client({
            host: LOCALHOST,
            port: this.vms[index]!.callerPort,
            user: "editor",
            password: "secret",
            database: "log-core",
            ...(options === "" ? {} : { options }),
        });
        client.on("error", onError);
        await client.connect();
        this.clients.push(client);
        return client;
    }

    /** Repeats an attempt until it succeeds. @throws its last error after `WAIT_TIMEOUT_MS` */
    async waitFor<Result>(attempt: () => Promise<Result>): Promise<Result> {
        const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
        for (;;) {
            try {
                return await attempt();
            }
            catch (error) {
                if (performance.now() > deadlineMs) {
                    throw error;
                }
                await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
            }
        }
    }

    async close(): Promise<void> {
        await Promise.allSettled(this.clients.map(client => client.end()));
        await Promise.all(this.vms.flatMap(({ controller, proxy }) => [controller.kill(), proxy.kill()]));
        await this.standin?.kill();
    }

    private get platformUrl(): string {
        return `http://${LOCALHOST}:${this.smallDeployment.standin.platformPort}`;
    }

    private async startStandin(): Promise<void> {
        const vms: ListedVm[] = this.smallDeployment.proxies.map(({ vm, failureDomain }) => ({
            name: vm,
            host: LOCALHOST,
            failureDomain,
            isLeaving: false,
        }));
        this.standin = await ProgramProcess.create(
            "standin",
            { ...this.smallDeployment.standin, vms },
            this.smallDeployment.standin.platformPort,
        );
        await this.applyConfiguration();
    }

    private async applyConfiguration(): Promise<void> {
        const { objectName, body, headKey, headValue } = createSampleBundle(this.smallDeployment.configuration);
        await fetch(`${this.platformUrl}/objects?name=${encodeURIComponent(objectName)}`, { method: "PUT", body });
        const writes = [{ key: headKey, expectedVersion: 0, value: headValue }];
        await fetch(`${this.platformUrl}/table/transact`, { method: "POST", body: JSON.stringify({ operationId: "apply-1", writes }) });
    }
}
