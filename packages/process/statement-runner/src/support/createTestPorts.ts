import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { Freshness, type RouteTable } from "@pomeloturn/types/ServiceEntries";
import type { TeamTable } from "@pomeloturn/types/Teams";
import type { RunnerPorts } from "../RunnerPorts.ts";

export const TEST_DATABASE = "orders";

/** What the configuration of a test contains beyond its route. */
export interface TestRouteOptions {
    readonly version?: number;
    readonly connectionLimit?: number;
    readonly teams?: TeamTable;
    /** Whether statements are paced by the instance's answers. */
    readonly isPaced?: boolean;
}

const nowMs = (): number => performance.now();
const random = (): number => 1 / 2;

/** Creates the configuration of the tests: one route to the primary of one service. */
export const createTestRoutes = (timeoutMs: number, { version = 1, connectionLimit = 1, teams }: TestRouteOptions = {}): RouteTable => {
    const route = {
        database: TEST_DATABASE,
        service: "ledger",
        freshness: Freshness.Primary,
        maximumAgeMs: undefined,
        timeoutMs,
        targetLatencyMs: timeoutMs,
        rank: 0,
    };
    const services = new Map([["ledger", { name: "ledger", connectionLimit, syncReplicas: 0 }]]);
    return { version, routes: new Map([[TEST_DATABASE, route]]), services, transactionIdleMs: 3_000, teams };
};

/** Creates the dependencies of a runner with one primary and, unless the options say otherwise, a single connection, whose channels the test opens. */
export const createTestPorts = (open: () => CommandChannel, timeoutMs: number, options: TestRouteOptions = {}): RunnerPorts => {
    const directory = ServiceDirectory.create(
        (_entry, pacing) => InstancePool.create({ nowMs, open, onOpenFailed: () => {}, onLost: () => {}, pacing }),
        () => options.isPaced === true ? { nowMs, random } : undefined,
    );
    directory.applyRoutes(createTestRoutes(timeoutMs, options));
    const instance = { id: "i-1", service: "ledger", host: "127.0.0.1", port: 1, failureDomain: "domain", slots: 2 };
    directory.applyEntry({
        ...instance,
        isDraining: false,
        isPrimary: true,
        startedAtMs: undefined,
        reportNumber: undefined,
        writtenAt: { era: 1, version: 1 },
    });
    return {
        directory,
        nowMs,
        random,
        detectSuspensions: () => 0,
        distanceTo: () => Distance.SameDomain,
        onInstanceSuspected: () => {},
        onStatement: () => {},
        onUnexpectedError: error => {
            throw error;
        },
    };
};
