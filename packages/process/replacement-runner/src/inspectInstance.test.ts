import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { InstanceProtocol } from "@pomeloturn/types/Protocols";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { expect, it } from "vitest";
import { surveyInstance } from "./inspectInstance.ts";

const PAUSE_TERM = 4;

/** Surveys an instance that answers PAUSE with a result code and STATUS with its role and term. */
const survey = async (
    pauseCode: number,
    { isPrimary = false, term = 3, statusCode = ResultCode.Ok as number, busyCount = 0 },
): Promise<{ readonly isPaused: boolean; readonly sent: readonly string[]; }> => {
    const sent: string[] = [];
    const answer = ({ kind }: InstanceCommand): Promise<InstanceReply> => {
        sent.push(kind);
        const isBusy = kind === CommandKind.Status && sent.filter(each => each === kind).length <= busyCount;
        const code = kind === CommandKind.Pause ? pauseCode : isBusy ? ResultCode.QueueFull : statusCode;
        return Promise.resolve({ code, rows: [], proof: "", text: "", status: TransactionStatus.Idle, position: undefined });
    };
    const lease = { send: (commands: readonly InstanceCommand[]) => commands.map(answer), release: () => {} } as unknown as ConnectionLease;
    const pool = { acquire: () => Promise.resolve(lease) } as unknown as InstancePool;
    const state = { isPrimary, term, received: { term, position: 7 }, heldTerm: 0 };
    const protocol = { decodeState: () => state } as unknown as InstanceProtocol;
    const entry = { id: "b", isDraining: false } as InstanceRuntime["entry"];
    return { ...await surveyInstance(InstanceRuntime.create(entry, pool), protocol, PAUSE_TERM), sent };
};

it("asks a replica for its position only after it has stopped receiving", async () => {
    expect(await survey(ResultCode.Ok, {})).toMatchObject({ isPaused: true, sent: [CommandKind.Pause, CommandKind.Status] });
});

it("does not wait for ever for an instance that does not know the command", async () => {
    expect(await survey(ResultCode.MalformedMessage, {})).toMatchObject({ isPaused: true });
});

it.each<[string, number, Parameters<typeof survey>[1]]>([
    ["had no slot for the command", ResultCode.QueueFull, {}],
    ["did not answer the command", ResultCode.BackendLost, {}],
    ["had no slot to report its position", ResultCode.Ok, { statusCode: ResultCode.QueueFull }],
    ["is the primary", ResultCode.Ok, { isPrimary: true }],
    ["is in the term already, after another promotion", ResultCode.MalformedMessage, { term: PAUSE_TERM }],
])("counts no replica as stopped that %s", async (_what, code, options) => {
    expect(await survey(code, options)).toMatchObject({ isPaused: false });
});

it("takes a replica for one that does not answer when it had no slot at first", async () => {
    const { isPaused, sent } = await survey(ResultCode.Ok, { busyCount: 3 });
    expect(isPaused).toBe(true);
    expect(sent.filter(kind => kind === CommandKind.Status)).toHaveLength(4);
});
