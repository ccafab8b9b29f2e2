import { findPorts } from "@pomeloturn/standin/findPorts";
import { createSampleConfiguration, SAMPLE_FAILURE_DOMAINS, SAMPLE_INSTANCES } from "@pomeloturn/standin/sampleConfiguration";
import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";

const LOCALHOST = "127.0.0.1";

/** Settings of a deployment with one group of three instances behind `proxyCount` proxies, on free ports of the loopback address. */
export interface SmallDeployment {
    readonly standin: { readonly platformPort: number; readonly [name: string]: unknown; };
    readonly configuration: Configuration;
    readonly view: ControlView;
    readonly proxies: readonly ProxyAddress[];
}

export interface ProxyAddress {
    readonly vm: string;
    readonly failureDomain: string;
    readonly callerHost: string;
    readonly callerPort: number;
    readonly peerHost: string;
    readonly peerPort: number;
}

/**
 * Creates the settings of a small deployment.
 * @param proxyCount number of proxies; the last one holds instances `one` (the primary) and `two`, the first one holds `three`
 * @param lease expiry time of the lease of the primary's holder in the view, in milliseconds
 */
export const createSmallDeployment = async (proxyCount: number, lease: { readonly expiresAtMs: number; }): Promise<SmallDeployment> => {
    const ports = await findPorts(SAMPLE_INSTANCES.length + 1 + proxyCount * 2);
    const [platformPort, ...otherPorts] = ports;
    const instancePorts = otherPorts.slice(0, SAMPLE_INSTANCES.length);
    const proxyPorts = otherPorts.slice(SAMPLE_INSTANCES.length);
    const proxies = Array.from({ length: proxyCount }, (_each, index) => ({
        vm: `vm-${index + 1}`,
        failureDomain: SAMPLE_FAILURE_DOMAINS[index % SAMPLE_FAILURE_DOMAINS.length]!,
        callerHost: LOCALHOST,
        callerPort: proxyPorts[index * 2]!,
        peerHost: LOCALHOST,
        peerPort: proxyPorts[index * 2 + 1]!,
    }));
    const configuration = createSampleConfiguration(instancePorts);
    const lastVm = proxies.at(-1)!.vm;
    const view: ControlView = {
        configVersion: 1,
        configuration,
        vms: Object.fromEntries(proxies.map(({ vm, failureDomain, peerPort }) => [
            vm,
            { host: LOCALHOST, peerPort, controllerPort: 1, failureDomain, state: "live" },
        ])),
        groups: {
            "log-1": {
                term: 1,
                primary: "one",
                history: [{ term: 1, position: 0 }],
                holders: { one: lastVm, two: lastVm, three: proxies[0]!.vm },
                leaseExpiresAtMs: lease.expiresAtMs,
            },
        },
    };
    const standin = {
        platformHost: LOCALHOST,
        platformPort: platformPort!,
        groups: [{
            name: "log-1",
            host: LOCALHOST,
            primary: "one",
            instances: Object.fromEntries(SAMPLE_INSTANCES.map((name, index) => [name, instancePorts[index]!])),
            replicationLagMs: 5,
            statementTimeMs: 0,
            slots: 2,
        }],
        vms: [],
    };
    return { standin, configuration, view, proxies };
};
