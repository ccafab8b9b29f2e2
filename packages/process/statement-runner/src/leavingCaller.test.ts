import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { SessionRunner } from "./SessionRunner.ts";

const ANSWER_MS = 2;

/** What the one connection was sent, in order. */
let sent: string[] = [];
let isInTransaction = false;

const answer = (command: InstanceCommand): InstanceReply => {
    sent.push(command.kind === CommandKind.Forward ? command.statement.id : command.kind);
    isInTransaction = command.kind === CommandKind.Begin || (isInTransaction && command.kind !== CommandKind.Rollback);
    return {
        code: command.kind === CommandKind.Forward && command.statement.id === "shed" ? ResultCode.QueueFull : ResultCode.Ok,
        rows: [],
        proof: "proof",
        text: "",
        status: isInTransaction ? TransactionStatus.Open : TransactionStatus.Idle,
        position: { term: 1, position: 1 },
    };
};

/** An instance that sheds the statement "shed" each time. */
const open = (): CommandChannel => {
    const later = (reply: InstanceReply): Promise<InstanceReply> => new Promise(resolve => setTimeout(() => resolve(reply), ANSWER_MS));
    return {
        greeting: later(answer({ kind: CommandKind.Reset })),
        isClosed: false,
        outstandingCount: 0,
        send: commands => commands.map(command => later(answer(command))),
        close: () => {},
    };
};

const createPorts = (): RunnerPorts => {
    const directory = ServiceDirectory.create(() =>
        InstancePool.create({ nowMs: () => performance.now(), open, onOpenFailed: () => {}, onLost: () => {} })
    );
    const route = {
        database: "orders",
        service: "ledger",
        freshness: Freshness.Primary,
        maximumAgeMs: undefined,
        timeoutMs: 2_000,
        targetLatencyMs: 500,
        rank: 0,
    };
    const services = new Map([["ledger", { name: "ledger", connectionLimit: 1 }]]);
    directory.adoptRoutes({ version: 1, routes: new Map([["orders", route]]), services, transactionIdleMs: 3_000 });
    const instance = { id: "i-1", service: "ledger", host: "127.0.0.1", port: 1, failureDomain: "domain", slots: 2 };
    directory.applyEntry({ ...instance, isDraining: false, isPrimary: true, bornAtMs: undefined, revision: 1 });
    return {
        directory,
        nowMs: (): number => performance.now(),
        random: (): number => 1 / 2,
        checkSuspended: (): number => 0,
        distanceTo: (): Distance => Distance.SameDomain,
        onSuspect: (): void => {},
        onStatement: (): void => {},
        onFault: (error: Error): void => {
            throw error;
        },
    };
};

const statement = (id: string, kind: StatementKind): Statement => ({ id, kind, text: id, name: "", argument: "", isWrite: false });

beforeEach(() => {
    sent = [];
    isInTransaction = false;
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

it.each([0, 3, 8, 14])("sends nothing more in a transaction whose caller left %i ms after a statement was shed", async waitMs => {
    const runner = SessionRunner.create("orders", createPorts());
    await runner.run(statement("begin", StatementKind.Begin));
    void runner.run(statement("shed", StatementKind.Read));
    while (!sent.includes("shed")) {
        await vi.advanceTimersByTimeAsync(1);
    }
    await vi.advanceTimersByTimeAsync(ANSWER_MS + waitMs);
    runner.close();
    await vi.advanceTimersByTimeAsync(500);
    const rolledBackAt = sent.lastIndexOf(CommandKind.Rollback);
    expect(rolledBackAt).toBeGreaterThan(0);
    expect(sent.slice(rolledBackAt + 1)).toEqual([]);
});
