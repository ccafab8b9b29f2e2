import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import type { RunnerPorts } from "../RunnerPorts.ts";

export const TEST_DATABASE = "orders";

const nowMs = (): number => performance.now();
const random = (): number => 1 / 2;

/**
 * Creates the dependencies of a runner with one primary and a single connection, whose channels the test opens.
 *
 * @param isPaced whether statements are paced by the instance's answers
 */
export const createTestPorts = (open: () => CommandChannel, timeoutMs: number, isPaced = false): RunnerPorts => {
    const directory = ServiceDirectory.create(
        (_entry, pacing) => InstancePool.create({ nowMs, open, onOpenFailed: () => {}, onLost: () => {}, pacing }),
        () => isPaced ? { nowMs, random } : undefined,
    );
    const route = {
        database: TEST_DATABASE,
        service: "ledger",
        freshness: Freshness.Primary,
        maximumAgeMs: undefined,
        timeoutMs,
        targetLatencyMs: timeoutMs,
        rank: 0,
    };
    const services = new Map([["ledger", { name: "ledger", connectionLimit: 1, syncReplicas: 0 }]]);
    directory.applyRoutes({ version: 1, routes: new Map([[TEST_DATABASE, route]]), services, transactionIdleMs: 3_000 });
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
