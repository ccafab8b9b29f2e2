import type { AnswerHandler, BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { buildCommandComplete, buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { serialize } from "pg-protocol";
import { beforeEach, describe, expect, it } from "vitest";
import { countSteps, leavesSessionState } from "./callerMessages.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";
import { RequestRun } from "./RequestRun.ts";

const LEASE_END_MS = 1_000;
const ROW_SIZE_BYTES = 100_000;

/** A backend connection whose answers are supplied by the test. */
class FakeConnection {
    isTainted = false;
    isPaused = false;
    handler: AnswerHandler | undefined;
    sent = "";

    start(messages: Buffer, _stepCount: number, handler: AnswerHandler): void {
        this.sent += messages.toString("latin1");
        this.handler = handler;
    }

    setPaused(isPaused: boolean): void {
        this.isPaused = isPaused;
    }
}

const dataRow = (): Buffer => {
    const row = Buffer.alloc(ROW_SIZE_BYTES);
    row[0] = BackendType.DataRow;
    row.writeUInt32BE(ROW_SIZE_BYTES - 1, 1);
    return row;
};

describe("RequestRun", () => {
    let nowMs: number;
    let view: GroupView;
    let connection: FakeConnection;
    let parts: AnswerPart[];
    let completed: (TransactionStatus | undefined)[];

    beforeEach(() => {
        nowMs = 0;
        view = { term: 1, primary: "one", history: [{ term: 1, position: 0 }], holders: {}, leaseExpiresAtMs: LEASE_END_MS };
        connection = new FakeConnection();
        parts = [];
        completed = [];
    });

    const run = (text: string, changes: Partial<ForwardRequest> = {}): void => {
        const environment = { markedTerm: 1, groupView: () => view, nowMs: () => nowMs } as unknown as InstanceEnvironment;
        const request: ForwardRequest = {
            requestId: 1,
            attempt: 1,
            service: "log-core",
            group: "log-1",
            instance: "one",
            rank: 0,
            mode: RequestMode.PrimaryWrite,
            deadlineLeftMs: 1_000,
            term: 1,
            requiredPosition: { term: 0, position: 0 },
            maximumAgeMs: 0,
            transactionId: "t",
            idempotencyKey: "",
            messages: serialize.query(text),
            ...changes,
        };
        const started = RequestRun.create(request, environment, part => parts.push(part), status => completed.push(status));
        started.start(connection as unknown as BackendConnection);
    };
    const finish = (): void => {
        connection.handler!.onMessage(buildCommandComplete("DONE"), 0);
        connection.handler!.onMessage(buildReadyForQuery("I"), 0);
        connection.handler!.onDone();
    };

    it.each<[string, () => void]>([
        ["the lease lapsed", (): void => {
            nowMs = LEASE_END_MS;
        }],
        ["the term changed", (): void => {
            view = { ...view, term: 2 };
        }],
        ["another instance became the primary", (): void => {
            view = { ...view, primary: "two" };
        }],
    ])("does not acknowledge an answer that arrives after %s", (_name, change) => {
        run("INSERT");
        change();
        finish();
        expect(parts.map(({ resultCode, messages }) => [resultCode, messages.length])).toEqual([[ResultCode.LeaseLapsed, 0]]);
    });

    it("sends nothing when the lease lapsed while the request waited for its connection", () => {
        nowMs = LEASE_END_MS;
        run("INSERT");
        expect(connection.sent).toBe("");
        expect(parts[0]!.resultCode).toBe(ResultCode.LeaseLapsedBeforeSend);
    });

    it("relays no rows after the lease has lapsed", () => {
        run("SELECT", { mode: RequestMode.PrimaryRead });
        connection.handler!.onMessage(dataRow(), 0);
        nowMs = LEASE_END_MS;
        connection.handler!.onMessage(dataRow(), 0);
        nowMs = 0;
        finish();
        expect(parts.map(({ resultCode, isLast }) => [resultCode, isLast])).toEqual([[0, false], [ResultCode.LeaseLapsed, true]]);
    });

    it("rolls back a recorded write when the lease lapses before its commit, and reports that it did not run", () => {
        run("INSERT", { idempotencyKey: "r1" });
        connection.handler!.onMessage(buildReadyForQuery("T"), 2);
        nowMs = LEASE_END_MS;
        connection.handler!.onDone();
        expect(connection.sent).toMatch(/ROLLBACK\0$/);
        connection.handler!.onDone();
        expect(connection.sent).not.toContain("COMMIT");
        expect(parts[0]!.resultCode).toBe(ResultCode.LeaseLapsedBeforeSend);
    });

    it("pauses reading from the backend server while too many relayed bytes are undelivered", () => {
        run("SELECT", { mode: RequestMode.PrimaryRead });
        for (let index = 0; index < 11; index++) {
            connection.handler!.onMessage(dataRow(), 0);
        }
        expect(connection.isPaused).toBe(true);
        parts[0]!.onRelayed!();
        expect(connection.isPaused).toBe(false);
    });

    it.each([
        ["CREATE TEMP TABLE draft (a int)", undefined],
        ["SELECT set_config('a', 'b', false)", undefined],
        ["SELECT pg_advisory_lock(1)", undefined],
        ["INSERT INTO entries VALUES (1)", TransactionStatus.Idle],
        ["SELECT temperature FROM entries", TransactionStatus.Idle],
    ])("closes the connection after %s only when it may hold session state", (text, status) => {
        run(text);
        finish();
        expect(completed).toEqual([status]);
    });
});

describe("caller messages", () => {
    it("counts the ReadyForQuery messages that answer a request", () => {
        const messages = [serialize.query("BEGIN"), serialize.parse({ text: "SELECT" }), serialize.bind({}), serialize.sync()];
        expect(countSteps(Buffer.concat(messages))).toBe(2);
    });

    it("detects session state in the text of a Parse message, but not in parameters", () => {
        expect(leavesSessionState(serialize.parse({ text: "DECLARE rows CURSOR WITH HOLD FOR SELECT 1" }))).toBe(true);
        expect(leavesSessionState(serialize.bind({ values: ["temp"] }))).toBe(false);
    });
});
