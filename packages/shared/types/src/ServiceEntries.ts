/** Services, instances and routes as an outside system lists them. */

/** Constants for `RouteEntry.freshness`. */
export const Freshness = {
    /** Reads see every acknowledged commit. */
    Primary: "primary",
    /** Reads see every commit that was acknowledged before `maximumAgeMs`. */
    Bounded: "bounded",
    /** As `Bounded`, and every commit of the same session. */
    ReadYourWrites: "readYourWrites",
} as const;
export type Freshness = typeof Freshness[keyof typeof Freshness];

/** Where the statements of a database name go and under which limits. */
export interface RouteEntry {
    readonly database: string;
    readonly service: string;
    readonly freshness: Freshness;
    /** Largest age of the data that a read may see; undefined when only the session's own commits bind. */
    readonly maximumAgeMs: number | undefined;
    /** Limit of a single statement. */
    readonly timeoutMs: number;
    /** Latency within which an operation should be answered. */
    readonly targetLatencyMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
}

/** Limits of a service's instances. */
export interface ServiceEntry {
    readonly name: string;
    /** Connections to one instance, of all callers together. */
    readonly connectionLimit: number;
}

/** One version of the routes. */
export interface RouteTable {
    readonly version: number;
    readonly routes: ReadonlyMap<string, RouteEntry>;
    readonly services: ReadonlyMap<string, ServiceEntry>;
    /** A transaction without a statement for this long may be ended. */
    readonly transactionIdleMs: number;
}

/** An instance as it lists itself. */
export interface InstanceEntry {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Whether the instance says that it is the primary. */
    readonly isPrimary: boolean;
    /** Start of the instance in Unix milliseconds; another value means that it knows nothing of before. */
    readonly bornAtMs: number | undefined;
    /** Increases with each change of the entry. */
    readonly revision: number;
}
