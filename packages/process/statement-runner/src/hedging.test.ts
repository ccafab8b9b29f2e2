import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { SessionRunner } from "./SessionRunner.ts";

const TIMEOUT_MS = 800;
const READ_MS = 50;
const CONNECTION_LIMIT = 1;

const ok: InstanceReply = { code: ResultCode.Ok, rows: ["row"], proof: "proof", text: "", status: "I", position: { term: 1, position: 1 } };
const after = (delayMs: number): Promise<InstanceReply> => new Promise(resolve => setTimeout(() => resolve(ok), delayMs));
const read = (id: string): Statement => ({ id, kind: StatementKind.Read, text: `READ ${id}`, name: "", argument: "", isWrite: false });

/** A connection that never answers the statement "lost", nor anything behind it. */
const open = (): CommandChannel => {
    let isSilent = false;
    let freeAtMs = 0;
    const answer = (command: InstanceCommand): Promise<InstanceReply> => {
        if (command.kind === CommandKind.Forward) {
            sent.push(command.statement.id);
        }
        isSilent ||= command.kind === CommandKind.Forward && command.statement.id === "lost" && opened === 1;
        freeAtMs = Math.max(freeAtMs, performance.now()) + (command.kind === CommandKind.Forward ? READ_MS : 0);
        return isSilent ? new Promise(() => {}) : after(freeAtMs - performance.now());
    };
    opened++;
    return { greeting: after(1), isClosed: false, outstandingCount: 0, send: commands => commands.map(answer), close: () => {} };
};
let opened = 0;
let sent: string[] = [];

const route = {
    database: "orders",
    service: "ledger",
    freshness: Freshness.Primary,
    maximumAgeMs: undefined,
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: TIMEOUT_MS,
    rank: 0,
};

const createDirectory = (): ServiceDirectory => {
    const directory = ServiceDirectory.create(() =>
        InstancePool.create({ nowMs: () => performance.now(), open, onOpenFailed: () => {}, onLost: () => {} })
    );
    const services = new Map([["ledger", { name: "ledger", connectionLimit: CONNECTION_LIMIT }]]);
    directory.adoptRoutes({ version: 1, routes: new Map([["orders", route]]), services, transactionIdleMs: 3_000 });
    directory.applyEntry({
        id: "i-1",
        service: "ledger",
        host: "127.0.0.1",
        port: 1,
        failureDomain: "domain",
        slots: 2,
        isDraining: false,
        isPrimary: true,
        bornAtMs: undefined,
        revision: 1,
    });
    return directory;
};

beforeEach(() => {
    opened = 0;
    sent = [];
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

const createPorts = (): RunnerPorts => ({
    directory: createDirectory(),
    nowMs: (): number => performance.now(),
    random: (): number => 1 / 2,
    checkSuspended: (): number => 0,
    distanceTo: (): Distance => Distance.SameDomain,
    onSuspect: (): void => {},
    onStatement: (): void => {},
    onFault: (error: Error): void => {
        throw error;
    },
});

it("sends nothing for a caller that has gone while its statement waited", async () => {
    const ports = createPorts();
    const busy = ["a", "b", "c"].map(name => SessionRunner.create("orders", ports).run(read(name)));
    const gone = ["READ", "WRITE"].map(word => {
        const runner = SessionRunner.create("orders", ports);
        void runner.run({ ...read("gone"), kind: word === "READ" ? StatementKind.Read : StatementKind.Write });
        return runner;
    });
    await vi.advanceTimersByTimeAsync(5);
    gone.forEach(runner => runner.close());
    await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
    await Promise.all(busy);
    expect(sent).toEqual(expect.arrayContaining(["a", "b", "c"]));
    expect(sent).not.toContain("gone");
});

it("repeats a read whose answer was lost, also where others always wait for a connection", async () => {
    const ports = createPorts();
    const reply = SessionRunner.create("orders", ports).run(read("lost"));
    await vi.advanceTimersByTimeAsync(10);
    const keepReading = async (name: string): Promise<void> => {
        const runner = SessionRunner.create("orders", ports);
        while (performance.now() < TIMEOUT_MS) {
            await runner.run(read(name));
        }
    };
    const others = Promise.all(["b", "c", "d", "e", "f", "g", "h"].map(keepReading));
    await vi.advanceTimersByTimeAsync(3 * TIMEOUT_MS);
    await others;
    expect((await reply).code).toBe(ResultCode.Ok);
});
