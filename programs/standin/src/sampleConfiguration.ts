import type { Configuration } from "@pomeloturn/types/Configuration";

const LOCALHOST = "127.0.0.1";

/** Instances of the sample database group; the first one is the primary. */
export const SAMPLE_INSTANCES = ["one", "two", "three"] as const;

/** Failure domains of the sample instances, in their order. */
export const SAMPLE_FAILURE_DOMAINS = ["cluj-a", "cluj-b", "buc-a"] as const;

export const SAMPLE_SERVICE = "log-core";
export const SAMPLE_GROUP = "log-1";

/**
 * Creates a configuration for tests and the demo: a service with one database group of three instances on the
 * loopback address.
 *
 * @param ports TCP port of each instance, in the order of `SAMPLE_INSTANCES`
 */
export const createSampleConfiguration = (ports: readonly number[]): Configuration => ({
    failureDomains: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" },
    latency: { betweenFailureDomainsMs: 1.5, betweenRegionsMs: 12 },
    services: {
        [SAMPLE_SERVICE]: {
            user: "editor",
            password: "secret",
            tokenKey: "token-key",
            groups: [SAMPLE_GROUP],
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
        [SAMPLE_GROUP]: {
            database: "log",
            user: "proxy",
            password: "backend",
            instances: Object.fromEntries(SAMPLE_INSTANCES.map((name, index) => [
                name,
                { host: LOCALHOST, port: ports[index]!, failureDomain: SAMPLE_FAILURE_DOMAINS[index]!, slots: 2, connections: 16 },
            ])),
        },
    },
    links: [],
});
