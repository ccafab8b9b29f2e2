import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { afterEach, expect, it } from "vitest";
import { OperatorClient } from "./OperatorClient.ts";
import { OperatorServer } from "./OperatorServer.ts";

const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 50;
const openResources: { close(): void; }[] = [];

const connect = async (handlers: Parameters<typeof OperatorServer.create>[0], timeoutMs = TIMEOUT_MS): Promise<OperatorClient> => {
    const server = OperatorServer.create(handlers);
    const client = OperatorClient.create(`127.0.0.1:${await server.listen("127.0.0.1", 0)}`, timeoutMs);
    openResources.push(client, server);
    return client;
};

afterEach(() => {
    openResources.splice(0).forEach(each => each.close());
});

it("returns what the handler returns", async () => {
    const client = await connect({ drain: ({ vm }) => Promise.resolve({ vm, isDraining: true }) });
    expect(await client.call("drain", { vm: "vm-1" })).toEqual({ vm: "vm-1", isDraining: true });
});

it("returns an empty object when the handler has no result", async () => {
    const client = await connect({ drain: () => undefined });
    expect(await client.call("drain")).toEqual({});
});

const createThrowingHandler = (error: Error) => () => {
    throw error;
};

it.each([
    [
        "the code of a PomeloturnError",
        createThrowingHandler(PomeloturnError.create(ResultCode.NoInstance, "log-1")),
        ResultCode.NoInstance,
        /log-1/,
    ],
    [
        "any other error with OperatorCommandFailed",
        createThrowingHandler(new Error("out of range")),
        ResultCode.OperatorCommandFailed,
        /out of range/,
    ],
])("returns %s", async (_name, handler, code, message) => {
    const client = await connect({ status: handler });
    await expect(client.call("status")).rejects.toMatchObject({ code, message: expect.stringMatching(message) });
});

it.each(["unknown", "toString", "__proto__"])("rejects the unknown command %s", async command => {
    const client = await connect({ status: () => ({}) });
    await expect(client.call(command)).rejects.toMatchObject({ code: ResultCode.UnknownOperatorCommand });
});

it("fails with OperatorUnreachable when the process does not answer in time", async () => {
    const client = await connect({ status: () => new Promise(() => undefined) }, SHORT_TIMEOUT_MS);
    await expect(client.call("status")).rejects.toMatchObject({ code: ResultCode.OperatorUnreachable });
});
