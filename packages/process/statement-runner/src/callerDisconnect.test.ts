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

/** Commands that were sent on the only connection, in order. */
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

/** Opens a connection to an instance that always refuses the statement "shed" as overloaded. */
const openConnection = (): CommandChannel => {
    const delay = (reply: InstanceReply): Promise<InstanceReply> => new Promise(resolve => setTimeout(() => resolve(reply), ANSWER_MS));
    return {
        startupReply: delay(answer({ kind: CommandKind.Reset })),
        isClosed: false,
        outstandingReplyCount: 0,
        send: commands => commands.map(command => delay(answer(command))),
        close: () => {},
    };
};

const createStatement = (id: string, kind: StatementKind): Statement => ({ id, kind, text: id, name: "", argument: "", isWrite: false });

beforeEach(() => {
    sent = [];
    isInTransaction = false;
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

it.each([0, 3, 8, 14])(
    "sends nothing after the rollback when the caller disconnects %i ms after a statement was refused as overloaded",
    async waitMs => {
        const runner = SessionRunner.create(TEST_DATABASE, "", createTestPorts(openConnection, TIMEOUT_MS));
        await runner.run(createStatement("begin", StatementKind.Begin));
        void runner.run(createStatement("shed", StatementKind.Read));
        while (!sent.includes("shed")) {
            await vi.advanceTimersByTimeAsync(1);
        }
        await vi.advanceTimersByTimeAsync(ANSWER_MS + waitMs);
        runner.close();
        await vi.advanceTimersByTimeAsync(500);
        const rolledBackAt = sent.lastIndexOf(CommandKind.Rollback);
        expect(rolledBackAt).toBeGreaterThan(0);
        expect(sent.slice(rolledBackAt + 1)).toEqual([]);
    },
);
