/** Configuration that operators own: what the merged configuration folder says. */

/** A rank of work of a service. Ranks are listed in order of urgency, the most urgent first. */
export interface RankConfiguration {
    readonly name: string;
    /** Latency within which 99% of requests of the rank should be answered. */
    readonly targetLatencyMs: number;
    /** Share of an instance's slot time that the rank keeps during a flood of others, 0 to 1. */
    readonly floorShare: number;
    /** Relative value of one request, for refusals when not all can be served. */
    readonly worth: number;
    /** Deadline of a request that states none. */
    readonly deadlineMs: number;
}

/** The staleness that a kind of read accepts. */
export interface ReadKindConfiguration {
    /** Largest provable age of the data; undefined means that only the session's own writes bind. */
    readonly maximumAgeMs?: number;
}

/** Constants for `ServiceConfiguration.acknowledgeAfter`. */
export const AcknowledgeAfter = {
    Primary: "primary",
    Replica: "replica",
} as const;
export type AcknowledgeAfter = typeof AcknowledgeAfter[keyof typeof AcknowledgeAfter];

/** Traffic over a paid link that a service asks for one of its ranks. The sum over all must be approved. */
export interface LinkShareConfiguration {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly rank: string;
    readonly bytesPerSecond: number;
    readonly bytesPerMonth: number;
}

/** A named path to database groups. The caller's database name is the service's name. */
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
    /** Undefined when the service asks for no traffic over paid links. */
    readonly linkShares?: readonly LinkShareConfiguration[];
}

/** One database server process of a group. */
export interface InstanceConfiguration {
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Statements that the instance executes at once without losing throughput. */
    readonly slots: number;
    /** Connections that the proxies may open to the instance, all together. */
    readonly connections: number;
}

/** A primary and its replicas. */
export interface GroupConfiguration {
    readonly database: string;
    readonly user: string;
    readonly password: string;
    readonly instances: Readonly<Record<string, InstanceConfiguration>>;
}

/** The approved use of the paid link between an ordered pair of regions. */
export interface LinkConfiguration {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly approvedBytesPerSecond: number;
    readonly approvedBytesPerMonth: number;
}

/** One-way latency between places, used to weigh where a read goes. */
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
