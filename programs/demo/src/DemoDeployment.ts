import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import { Controller } from "@pomeloturn/controller/Controller";
import { Proxy } from "@pomeloturn/proxy/Proxy";
import { createSampleBundle } from "@pomeloturn/standin/createSampleBundle";
import { findPorts } from "@pomeloturn/standin/findPorts";
import { createSampleConfiguration, SAMPLE_FAILURE_DOMAINS, SAMPLE_GROUP, SAMPLE_INSTANCES } from "@pomeloturn/standin/sampleConfiguration";
import { Standin } from "@pomeloturn/standin/Standin";
import { DemoCaller } from "./DemoCaller.ts";
import { waitFor } from "./waitFor.ts";

const LOCALHOST = "127.0.0.1";
const VM_COUNT = 3;
const PORTS_PER_VM = 3;
const STATEMENT_TIME_MS = 4;
const REPLICATION_LAG_MS = 30;
const DRAIN_DEADLINE_MS = 5_000;

/** Entry VM of the demo with its proxy and controller. */
export interface DemoVm {
    readonly name: string;
    readonly callerPort: number;
    readonly proxy: Proxy;
    readonly controller: Controller;
}

/** Simulated platform and databases with the controllers and proxies of three VMs, in one process. */
export class DemoDeployment {
    private readonly callers: DemoCaller[] = [];

    private constructor(readonly standin: Standin, readonly vms: readonly DemoVm[]) {}

    /** Starts the deployment on free ports of the loopback address and waits until it serves reads. */
    static async create(): Promise<DemoDeployment> {
        const ports = await findPorts(SAMPLE_INSTANCES.length + 1 + VM_COUNT * PORTS_PER_VM);
        const platformPort = ports[0]!;
        const instancePorts = ports.slice(1, 1 + SAMPLE_INSTANCES.length);
        const standin = await startStandin(platformPort, instancePorts);
        const vmPorts = ports.slice(1 + SAMPLE_INSTANCES.length);
        const controllerPorts = Array.from({ length: VM_COUNT }, (_each, index) => vmPorts[index * PORTS_PER_VM]!);
        const vms: DemoVm[] = [];
        for (let index = 0; index < VM_COUNT; index++) {
            vms.push(await startVm(index, vmPorts.slice(index * PORTS_PER_VM), controllerPorts, platformPort));
        }
        const deployment = new DemoDeployment(standin, vms);
        await deployment.waitForLeader();
        return deployment;
    }

    /** Waits until every proxy can read from the group. */
    private async waitForLeader(): Promise<void> {
        for (let vm = 0; vm < VM_COUNT; vm++) {
            const caller = await this.connect(vm);
            await waitFor("the group to be available", () => caller.read("none"));
        }
    }

    /**
     * Connects a caller to the proxy of a VM. Retries until the proxy accepts it, since the proxy may not know the
     * service yet.
     *
     * @param vm index of the VM
     * @param options start-up options
     */
    async connect(vm: number, options = ""): Promise<DemoCaller> {
        const caller = await waitFor("a caller to be accepted", () => DemoCaller.create(this.vms[vm]!.callerPort, options));
        this.callers.push(caller);
        return caller;
    }

    /** Counts the requests that replicas and primaries have served so far, over all proxies. */
    countRequests(): { readonly replica: number; readonly primary: number; } {
        const sum = (name: string): number => this.vms.reduce((total, { proxy }) => total + proxy.counters.read(name), 0);
        return { replica: sum("requests_replica"), primary: sum("requests_primary") };
    }

    async close(): Promise<void> {
        await Promise.allSettled(this.callers.map(caller => caller.close()));
        for (const { proxy, controller } of this.vms) {
            proxy.close();
            controller.close();
        }
        this.standin.close();
    }
}

const startStandin = async (platformPort: number, instancePorts: readonly number[]): Promise<Standin> => {
    const standin = await Standin.create({
        platformHost: LOCALHOST,
        platformPort,
        groups: [{
            name: SAMPLE_GROUP,
            host: LOCALHOST,
            primary: SAMPLE_INSTANCES[0],
            instances: Object.fromEntries(SAMPLE_INSTANCES.map((name, index) => [name, instancePorts[index]!])),
            replicationLagMs: REPLICATION_LAG_MS,
            statementTimeMs: STATEMENT_TIME_MS,
            slots: 2,
        }],
        vms: SAMPLE_FAILURE_DOMAINS.map((failureDomain, index) => ({
            name: `vm-${index + 1}`,
            host: LOCALHOST,
            failureDomain,
            isLeaving: false,
        })),
    }, monotonicNowMs);
    const { objectName, body, headKey, headValue } = createSampleBundle(createSampleConfiguration(instancePorts));
    standin.platform.putObject(objectName, body);
    standin.platform.transact("demo-configuration", [{ key: headKey, expectedVersion: 0, value: headValue }]);
    return standin;
};

const startVm = async (
    index: number,
    ports: readonly number[],
    controllerPorts: readonly number[],
    platformPort: number,
): Promise<DemoVm> => {
    const [controllerPort, peerPort, callerPort] = ports;
    const name = `vm-${index + 1}`;
    const failureDomain = SAMPLE_FAILURE_DOMAINS[index]!;
    const controller = await Controller.create({
        vm: name,
        failureDomain,
        host: LOCALHOST,
        controllerPort: controllerPort!,
        peerPort: peerPort!,
        seeds: controllerPorts.map(port => `${LOCALHOST}:${port}`),
        platformUrl: `http://${LOCALHOST}:${platformPort}`,
        platformTimeoutMs: 1_000,
        drainDeadlineMs: DRAIN_DEADLINE_MS,
    });
    const proxy = await Proxy.create({
        vm: name,
        failureDomain,
        callerHost: LOCALHOST,
        callerPort: callerPort!,
        peerHost: LOCALHOST,
        peerPort: peerPort!,
        callerLimit: 1_000,
        controllerPort: controllerPort!,
    });
    return { name, callerPort: callerPort!, proxy, controller };
};
