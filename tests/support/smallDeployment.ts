import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { findPorts } from "./findPorts.ts";

const LOCALHOST = "127.0.0.1";
const INSTANCES = ["one", "two", "three"] as const;
const DOMAINS = ["cluj-a", "cluj-b", "buc-a"] as const;

/** One group of three instances before three proxies, on free ports of the loopback address. */
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

const createConfiguration = (ports: readonly number[]): Configuration => ({
    failureDomains: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" },
    latency: { betweenFailureDomainsMs: 1.5, betweenRegionsMs: 12 },
    services: {
        "log-core": {
            user: "editor",
            password: "secret",
            tokenKey: "token-key",
            groups: ["log-1"],
            ranks: [
                { name: "filing", targetLatencyMs: 100, floorShare: 0.2, worth: 10, deadlineMs: 5_000 },
                { name: "lookup", targetLatencyMs: 300, floorShare: 0.2, worth: 3, deadlineMs: 5_000 },
                { name: "notice", targetLatencyMs: 1_000, floorShare: 0.1, worth: 1, deadlineMs: 5_000 },
            ],
            defaultRank: "lookup",
            readKinds: { session: {}, recent: { maximumAgeMs: 2_000 } },
            defaultReadKind: "session",
            acknowledgeAfter: "primary",
        },
    },
    groups: {
        "log-1": {
            database: "log",
            user: "proxy",
            password: "backend",
            instances: Object.fromEntries(INSTANCES.map((name, index) => [
                name,
                { host: LOCALHOST, port: ports[index]!, failureDomain: DOMAINS[index]!, slots: 2, connections: 16 },
            ])),
        },
    },
    links: [],
});

/** @param proxyCount proxies; the instances' holders are the last proxies in turn, the primary's the last one */
export const createSmallDeployment = async (proxyCount: number, lease: { readonly expiresAtMs: number; }): Promise<SmallDeployment> => {
    const ports = await findPorts(INSTANCES.length + 1 + proxyCount * 2);
    const [platformPort, ...rest] = ports;
    const instancePorts = rest.slice(0, INSTANCES.length);
    const proxyPorts = rest.slice(INSTANCES.length);
    const proxies = Array.from({ length: proxyCount }, (_each, index) => ({
        vm: `vm-${index + 1}`,
        failureDomain: DOMAINS[index % DOMAINS.length]!,
        callerHost: LOCALHOST,
        callerPort: proxyPorts[index * 2]!,
        peerHost: LOCALHOST,
        peerPort: proxyPorts[index * 2 + 1]!,
    }));
    const configuration = createConfiguration(instancePorts);
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
            instances: Object.fromEntries(INSTANCES.map((name, index) => [name, instancePorts[index]!])),
            replicationLagMs: 5,
            statementTimeMs: 0,
            slots: 2,
        }],
        vms: [],
    };
    return { standin, configuration, view, proxies };
};
