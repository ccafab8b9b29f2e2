import { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { createRetryBudget } from "@pomeloturn/plan-retry/retryBudget";
import { EMPTY_TOKEN } from "@pomeloturn/session-token/SessionToken";
import type { ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { buildCommandComplete, buildEmptyMessage } from "@pomeloturn/wire-messages/buildMessage";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { serialize } from "pg-protocol";
import { beforeEach, describe, expect, it } from "vitest";
import type { SessionAction, SessionContext, SessionEvent } from "./sessionMessages.ts";
import { createSession, type SessionState } from "./SessionState.ts";
import { DEADLINE_GRACE_MS } from "./setDeadlineTimer.ts";
import { stepSession } from "./stepSession.ts";

const DEADLINE_MS = 1_000;

const service: ServiceConfiguration = {
    user: "editor",
    password: "secret",
    tokenKey: "key",
    groups: ["log-1"],
    ranks: [{ name: "filing", targetLatencyMs: 100, floorShare: 0.2, worth: 1, deadlineMs: DEADLINE_MS }],
    defaultRank: "filing",
    readKinds: { session: {}, recent: { maximumAgeMs: 500 } },
    defaultReadKind: "session",
    acknowledgeAfter: "primary",
};

const instance = { host: "", port: 1, failureDomain: "cluj-a", slots: 2, connections: 16 };

const view: ControlView = {
    configVersion: 1,
    configuration: {
        failureDomains: {},
        latency: { betweenFailureDomainsMs: 1, betweenRegionsMs: 12 },
        services: { "log-core": service },
        groups: { "log-1": { database: "log", user: "", password: "", instances: { one: instance, two: instance } } },
        links: [],
    },
    vms: {},
    groups: { "log-1": { term: 1, primary: "one", history: [{ term: 1, position: 0 }], holders: { one: "vm-1", two: "vm-2" } } },
};

const classes: Readonly<Record<string, StatementClass>> = {
    SELECT: StatementClass.Read,
    BEGIN: StatementClass.Begin,
    COMMIT: StatementClass.Commit,
    SET: StatementClass.SessionSetting,
    LISTEN: StatementClass.Unsupported,
};

describe("stepSession", () => {
    let state: SessionState;
    let context: SessionContext;
    let replies: string;
    let forwarded: ForwardRequest[];
    let otherActions: string[];

    const apply = (actions: readonly SessionAction[]): void => {
        for (const action of actions) {
            if (action.kind === "reply") {
                replies += Buffer.concat(action.messages).toString("latin1").replaceAll(/[^\x20-\x7e]+/g, " ");
            }
            else if (action.kind === "forward") {
                forwarded.push(action.request);
            }
            else if (action.kind !== "record" && action.kind !== "setTimer") {
                otherActions.push(action.kind);
            }
        }
    };
    const step = (event: SessionEvent, nowMs = 0): void => apply(stepSession(state, event, context, nowMs));
    const send = (...messages: Uint8Array[]): void => step({ kind: "messages", messages: messages.map(each => Buffer.from(each)) });
    const query = (text: string): void => send(serialize.query(text));
    const answer = (changes: Partial<AnswerPart> = {}, nowMs = 0): void => {
        const { requestId, attempt } = forwarded.at(-1)!;
        const part: AnswerPart = {
            requestId,
            attempt,
            messages: buildCommandComplete("DONE"),
            isLast: true,
            resultCode: ResultCode.Ok,
            transactionStatus: TransactionStatus.Idle,
            position: { term: 0, position: 0 },
            serviceTimeUs: 0,
            ...changes,
        };
        step({ kind: "answer", part }, nowMs);
    };
    const beginTransaction = (): void => {
        query("BEGIN");
        answer({ transactionStatus: TransactionStatus.Open });
        replies = "";
    };

    beforeEach(() => {
        state = createSession("s", "log-core", EMPTY_TOKEN, {});
        const budget = createRetryBudget(0);
        let requestId = 0;
        context = {
            view,
            vm: "vm-1",
            failureDomain: "cluj-a",
            statistics: RoutingStatistics.create(),
            statuses: new Map(),
            retryBudget: () => budget,
            classify: text => classes[text.split(" ")[0]!] ?? StatementClass.Write,
            takeRequestId: () => ++requestId,
            random: () => 0,
        };
        replies = "";
        forwarded = [];
        otherActions = [];
    });

    it("fails a request without an answer after the deadline, and ignores the late answer", () => {
        query("INSERT");
        step({ kind: "timerFired" }, DEADLINE_MS + DEADLINE_GRACE_MS - 1);
        expect(replies).toBe("");
        step({ kind: "timerFired" }, DEADLINE_MS + DEADLINE_GRACE_MS);
        expect(replies).toContain("result=406 effect=outcome unknown");
        replies = "";
        answer();
        expect(replies).toBe("");
    });

    it.each<[string, SessionEvent, number]>([
        ["the deadline", { kind: "timerFired" }, DEADLINE_MS + DEADLINE_GRACE_MS],
        ["a cancel", { kind: "cancelRequested" }, 0],
        ["the end of the caller connection", { kind: "callerClosed" }, 0],
    ])("ends a transaction that opens after %s", (_name, event, nowMs) => {
        query("BEGIN");
        step(event, nowMs);
        otherActions = [];
        answer({ transactionStatus: TransactionStatus.Open });
        expect(otherActions[0]).toBe("endTransaction");
    });

    it("reports an unknown outcome for a lost COMMIT and has no open transaction afterwards", () => {
        beginTransaction();
        query("COMMIT");
        answer({ resultCode: ResultCode.PeerLost });
        expect(replies).toContain("result=404 effect=outcome unknown");
        expect(state.status).toBe(TransactionStatus.Idle);
    });

    it("reports a lost transaction for each statement after the loss, until the caller ends it", () => {
        beginTransaction();
        query("INSERT");
        answer({ resultCode: ResultCode.BackendLost });
        expect(otherActions).toEqual(["endTransaction"]);
        query("SELECT 1");
        expect(replies).toContain("result=207 effect=not run");
        query("COMMIT");
        expect(replies).toContain("ROLLBACK");
        expect(forwarded).toHaveLength(2);
    });

    it("rolls back a transaction after a rejected statement", () => {
        beginTransaction();
        query("LISTEN news");
        expect(replies).toContain("result=106 effect=not run");
        query("COMMIT");
        expect(replies).toContain("ROLLBACK");
        expect(forwarded).toHaveLength(1);
    });

    it("sends later statements of a transaction as transaction steps with the same transaction id", () => {
        beginTransaction();
        query("SELECT 1");
        expect(forwarded.map(({ mode }) => mode)).toEqual([RequestMode.PrimaryWrite, RequestMode.TransactionStep]);
        expect(forwarded[1]!.transactionId).toBe(forwarded[0]!.transactionId);
    });

    it("retries a read whose freshness proof expires before its answer arrives", () => {
        const sample = { term: 1, position: 50 };
        const status = {
            replayed: sample,
            primarySample: sample,
            primarySampledAtMs: 0,
            receivedAtMs: 0,
            freeSlots: 1,
            queued: [],
            credits: [],
            isReachable: true,
            serviceTimeUs: 0,
        };
        context = { ...context, statuses: new Map([["log-1/two", status]]) };
        query("SELECT 1 /*read_kind='recent'*/");
        expect(forwarded[0]).toMatchObject({ mode: RequestMode.ReplicaRead, requiredPosition: sample });
        answer({}, 501);
        expect(replies).toBe("");
        expect(forwarded[1]).toMatchObject({ mode: RequestMode.PrimaryRead, attempt: 2 });
    });

    it("answers a Flush without a ReadyForQuery and commits the implicit transaction at the Sync", () => {
        send(serialize.parse({ text: "INSERT" }), serialize.bind({}), serialize.execute({}), serialize.flush());
        expect(Buffer.from(forwarded[0]!.messages).toString("latin1")).toMatch(/^Q...\nBEGIN/s);
        answer({
            messages: Buffer.concat([
                buildCommandComplete("BEGIN"),
                buildEmptyMessage(BackendType.BindComplete),
                buildCommandComplete("INSERT 0 1"),
            ]),
            transactionStatus: TransactionStatus.Open,
        });
        expect(replies).toBe("2 C INSERT 0 1 ");
        send(serialize.sync());
        expect(Buffer.from(forwarded[1]!.messages).toString("latin1")).toMatch(/COMMIT\0$/);
        replies = "";
        answer({ messages: buildCommandComplete("COMMIT") });
        expect(replies).toBe("Z I");
    });

    it("skips messages after an error in a Flush, up to the Sync", () => {
        send(serialize.bind({ statement: "unknown" }), serialize.flush(), serialize.execute({}), serialize.flush(), serialize.sync());
        expect(replies.match(/result=113/g)).toHaveLength(1);
        expect(replies).toMatch(/Z I$/);
        expect(forwarded).toEqual([]);
    });

    it.each([
        ["SET application_name = 'x'", "SET"],
        ["SET extra_float_digits = 3", "SET"],
        ["SET client_encoding TO 'UTF8'", "SET"],
        ["SET pomeloturn.rank = 'filing'", "SET"],
        ["SET client_encoding TO 'LATIN1'", "result=114"],
        ["SET search_path = a", "result=114"],
        ["SET pomeloturn.unknown = 'a'", "result=114"],
        ["SELECT 1 /*rank='unknown'*/", "result=107"],
        ["SELECT 1 /*read_kind='unknown'*/", "result=108"],
        ["SELECT 1 /*read_kind='constructor'*/", "result=108"],
        ["SELECT 1 /*rank=filing*/", "result=112"],
        ["SELECT 1 /*rank='%zz'*/", "result=112"],
        ["INSERT 1 /*request_id=''*/", "result=112"],
    ])("answers %s without a backend server", (text, expected) => {
        query(text);
        expect(replies).toContain(expected);
        expect(forwarded).toEqual([]);
    });

    it("answers a setting in the extended protocol as a backend server would", () => {
        const parse = serialize.parse({ text: "SET extra_float_digits = 3" });
        send(parse, serialize.bind({}), serialize.describe({ type: "P" }), serialize.execute({}), serialize.sync());
        expect(replies).toBe("1 2 n C SET Z I");
    });
});
