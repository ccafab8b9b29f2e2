/** Services, instances and routes, as the platform's store lists them. */

import type { StorePoint } from "./StoreRow.ts";
import type { TeamTable } from "./Teams.ts";

/** Constants for `RouteEntry.freshness`. */
export const Freshness = {
    /** Reads see every acknowledged commit. */
    Primary: "primary",
    /** Reads see every commit that was acknowledged at least `maximumAgeMs` ago. */
    Bounded: "bounded",
    /** As `Bounded`, plus every commit of the same session. */
    ReadYourWrites: "readYourWrites",
} as const;
export type Freshness = typeof Freshness[keyof typeof Freshness];

/** Service and limits for the statements that callers send under a database name. */
export interface RouteEntry {
    readonly database: string;
    readonly service: string;
    readonly freshness: Freshness;
    /** Largest accepted age of the data; undefined when a read only has to see the session's own commits. */
    readonly maximumAgeMs: number | undefined;
    /** Time limit of a single statement. */
    readonly timeoutMs: number;
    /** Latency within which an operation should be answered. */
    readonly targetLatencyMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    /** Whether callers need no key although the configuration lists teams. */
    readonly isPublic?: boolean;
}

/** Limits of a service's instances. */
export interface ServiceEntry {
    readonly name: string;
    /** Connections that may be open to one instance, for all callers together. */
    readonly connectionLimit: number;
    /** Number of replicas that have to receive a commit before it is acknowledged. */
    readonly syncReplicas: number;
}

/** One version of the routes. */
export interface RouteTable {
    readonly version: number;
    readonly routes: ReadonlyMap<string, RouteEntry>;
    readonly services: ReadonlyMap<string, ServiceEntry>;
    /** Idle time after which an open transaction may be rolled back. */
    readonly transactionIdleMs: number;
    /** Undefined when callers need no key. */
    readonly teams?: TeamTable | undefined;
}

/** An instance, as it registers itself. */
export interface InstanceEntry {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Whether the instance claims to be the primary. */
    readonly isPrimary: boolean;
    /** Unix time at which the instance started, in milliseconds; a different value means a restart that lost its in-memory state. */
    readonly startedAtMs: number | undefined;
    /** Number of the instance's report since its start; it increases with each report. Undefined when the instance does not state it. */
    readonly reportNumber: number | undefined;
    /** Point at which the entry was last written to the store. */
    readonly writtenAt: StorePoint;
}
