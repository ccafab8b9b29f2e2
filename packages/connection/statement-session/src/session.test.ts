import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { describe, expect, it } from "vitest";
import { answerLocally } from "./answerLocally.ts";
import { createConnectionState, synchronizeConnection } from "./ConnectionState.ts";
import { createSession, measureStored } from "./SessionState.ts";

const statement = (kind: StatementKind, name = "", argument = "", isWrite = false): Statement => ({
    id: "r1",
    kind,
    text: kind,
    name,
    argument,
    isWrite,
});

describe("answerLocally", () => {
    it.each(
        [
            ["SET", "I", statement(StatementKind.Set, "a", "1"), ResultCode.Ok, "I"],
            ["PREPARE in a transaction", "T", statement(StatementKind.Prepare, "s", "q"), ResultCode.Ok, "T"],
            ["CLOSE of an unknown name", "I", statement(StatementKind.Close, "s"), ResultCode.Ok, "I"],
            ["EXECUTE of an unknown name", "I", statement(StatementKind.Execute, "s", "x"), ResultCode.UnknownPreparedStatement, "I"],
            ["BEGIN in a transaction", "T", statement(StatementKind.Begin), ResultCode.MalformedMessage, "T"],
            ["COMMIT outside a transaction", "I", statement(StatementKind.Commit), ResultCode.MalformedMessage, "I"],
            ["a malformed statement", "I", statement(StatementKind.Malformed), ResultCode.MalformedMessage, "I"],
            ["a read in a failed transaction", "E", statement(StatementKind.Read), ResultCode.MalformedMessage, "E"],
            ["COMMIT of a failed transaction", "E", statement(StatementKind.Commit), ResultCode.TransactionLost, "I"],
            ["ROLLBACK of a failed transaction", "E", statement(StatementKind.Rollback), ResultCode.Ok, "I"],
        ] as const,
    )("answers %s in transaction status %s", (_what, status, each, code, statusAfter) => {
        const session = createSession("orders");
        session.status = status;
        expect(answerLocally(session, each)).toMatchObject({ code, status: statusAfter });
    });

    it.each([StatementKind.Read, StatementKind.Write, StatementKind.Begin, StatementKind.BeginRead])(
        "returns undefined for %s, which an instance has to run",
        kind => {
            expect(answerLocally(createSession("orders"), statement(kind))).toBeUndefined();
        },
    );
});

describe("what a session stores", () => {
    const LARGE = "v".repeat(100_000);

    it.each([StatementKind.Set, StatementKind.Prepare])("is not kept without a limit (%s)", kind => {
        const session = createSession("orders");
        const codes = ["a", "b", "c", "d"].map(name => answerLocally(session, statement(kind, name, LARGE))?.code);
        expect(codes).toEqual([ResultCode.Ok, ResultCode.Ok, ResultCode.MessageTooLarge, ResultCode.MessageTooLarge]);
        expect(session.settings.size + session.preparedStatements.size).toBe(2);
    });

    it("is measured with the entries, so that many short names count", () => {
        const session = createSession("orders");
        Array.from({ length: 1_000 }, (_each, index) => answerLocally(session, statement(StatementKind.Set, `${index}`, "v")));
        expect(session.storedLength).toBeLessThan(5_000);
        expect(measureStored(session)).toBeGreaterThan(100_000);
    });

    it("does not count what was replaced or closed", () => {
        const session = createSession("orders");
        const kinds = [StatementKind.Set, StatementKind.Prepare, StatementKind.Close];
        const codes = Array.from({ length: 30 }, (_each, index) => answerLocally(session, statement(kinds[index % 3]!, "a", LARGE))?.code);
        expect(new Set(codes)).toEqual(new Set([ResultCode.Ok]));
    });
});

describe("synchronizeConnection", () => {
    const createSettings = (entries: Readonly<Record<string, string>>): Map<string, string> => new Map(Object.entries(entries));

    it("sends only the differences, and only once", () => {
        const connectionState = createConnectionState();
        const first = synchronizeConnection(connectionState, createSettings({ a: "1", b: "2" }), { isWrite: true, shape: "q" });
        expect(first.commands.map(({ kind }) => kind)).toEqual(["set", "set", "prepare"]);
        expect(synchronizeConnection(connectionState, createSettings({ a: "1", b: "2" }), { isWrite: true, shape: "q" }).commands).toEqual(
            [],
        );
        expect(synchronizeConnection(connectionState, createSettings({ a: "1", b: "3" }), undefined).commands).toEqual([{
            kind: "set",
            name: "b",
            value: "3",
        }]);
    });

    it("resets a connection with a setting that the session has not made", () => {
        const connectionState = createConnectionState();
        synchronizeConnection(connectionState, createSettings({ a: "1" }), { isWrite: false, shape: "q" });
        const { commands } = synchronizeConnection(connectionState, createSettings({ b: "2" }), { isWrite: false, shape: "q" });
        expect(commands.map(({ kind }) => kind)).toEqual(["reset", "set", "prepare"]);
    });

    it("gives prepared statements unique names by kind and shape", () => {
        const names = [["q", true], ["q", false], ["q c", true], ["q2c:v2", true], ["7132633a7632", true], ["x_71", true]].map((
            [shape, isWrite],
        ) => synchronizeConnection(createConnectionState(), createSettings({}), { shape: shape as string, isWrite: isWrite as boolean })
            .preparedName
        );
        expect(new Set(names).size).toBe(names.length);
        expect(names.every(name => /^\w+$/.test(name))).toBe(true);
    });
});
