import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { SessionRunner } from "./SessionRunner.ts";
import { createTestPorts, TEST_DATABASE } from "./support/createTestPorts.ts";

const ANSWER_MS = 2;
const TIMEOUT_MS = 2_000;

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
        outstandingReplyCount: 0,
        send: commands => commands.map(command => later(answer(command))),
        close: () => {},
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
    const runner = SessionRunner.create(TEST_DATABASE, createTestPorts(open, TIMEOUT_MS));
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
