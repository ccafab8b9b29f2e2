/** Operator configuration, as merged from the files of the configuration folder. */

/** A priority class of a service's requests. Ranks are listed in order of urgency, the most urgent first. */
export interface RankConfiguration {
    readonly name: string;
    /** Latency within which 99% of requests of the rank should be answered. */
    readonly targetLatencyMs: number;
    /** Share of an instance's slot time that is reserved for the rank when other ranks overload the instance, 0 to 1. */
    readonly floorShare: number;
    /** Relative value of one request; decides which requests are refused under overload. */
    readonly worth: number;
    /** Deadline of a request that sets none. */
    readonly deadlineMs: number;
}

/** The staleness that a kind of read accepts. */
export interface ReadKindConfiguration {
    /** Largest accepted age of the data, which must be proved; undefined when a read only has to see the session's own writes. */
    readonly maximumAgeMs?: number;
}

/** Constants for `ServiceConfiguration.acknowledgeAfter`. */
export const AcknowledgeAfter = {
    Primary: "primary",
    Replica: "replica",
} as const;
export type AcknowledgeAfter = typeof AcknowledgeAfter[keyof typeof AcknowledgeAfter];

/** Traffic over a paid link that a service requests for one of its ranks. The sum over all services must be approved. */
export interface LinkShareConfiguration {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly rank: string;
    readonly bytesPerSecond: number;
    readonly bytesPerMonth: number;
}

/** A service: the database groups that its callers reach, and how. Callers give the service's name as the database name. */
export interface ServiceConfiguration {
    readonly user: string;
    readonly password: string;
    /** Secret key of the HMAC over session tokens. */
    readonly tokenKey: string;
    readonly groups: readonly string[];
    readonly ranks: readonly RankConfiguration[];
    readonly defaultRank: string;
    readonly readKinds: Readonly<Record<string, ReadKindConfiguration>>;
    readonly defaultReadKind: string;
    readonly acknowledgeAfter: AcknowledgeAfter;
    /** Undefined when the service requests no traffic over paid links. */
    readonly linkShares?: readonly LinkShareConfiguration[];
}

/** One database server process of a group. */
export interface InstanceConfiguration {
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Statements that the instance can execute concurrently without losing throughput. */
    readonly slots: number;
    /** Connections that all proxies together may open to the instance. */
    readonly connections: number;
}

/** A primary and its replicas. */
export interface GroupConfiguration {
    readonly database: string;
    readonly user: string;
    readonly password: string;
    readonly instances: Readonly<Record<string, InstanceConfiguration>>;
}

/** Approved traffic on the paid link from one region to another. */
export interface LinkConfiguration {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly approvedBytesPerSecond: number;
    readonly approvedBytesPerMonth: number;
}

/** One-way network latencies, used to choose the instance for a read. */
export interface LatencyConfiguration {
    readonly betweenFailureDomainsMs: number;
    readonly betweenRegionsMs: number;
}

/** The merged configuration folder. */
export interface Configuration {
    /** Region of each failure domain. */
    readonly failureDomains: Readonly<Record<string, string>>;
    readonly latency: LatencyConfiguration;
    readonly services: Readonly<Record<string, ServiceConfiguration>>;
    readonly groups: Readonly<Record<string, GroupConfiguration>>;
    readonly links: readonly LinkConfiguration[];
}
