import pg from "pg";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ProgramProcess } from "./support/ProgramProcess.ts";
import { createSmallDeployment, type SmallDeployment } from "./support/smallDeployment.ts";

const NO_EXPIRY_MS = 1e15;

describe("end to end through two proxies and a stand-in, each in its own process", () => {
    let deployment: SmallDeployment;
    let processes: ProgramProcess[];
    const clients: pg.Client[] = [];

    const connect = async (proxyIndex: number, token?: string): Promise<pg.Client> => {
        const client = new pg.Client({
            host: "127.0.0.1",
            port: deployment.proxies[proxyIndex]!.callerPort,
            user: "editor",
            password: "secret",
            database: "log-core",
            ...(token === undefined ? {} : { options: `-c pomeloturn.token=${token}` }),
        });
        client.on("error", () => undefined);
        await client.connect();
        clients.push(client);
        return client;
    };

    beforeEach(async () => {
        deployment = await createSmallDeployment(2, { expiresAtMs: NO_EXPIRY_MS });
        const { standin, proxies, view } = deployment;
        processes = [
            await ProgramProcess.create("standin", standin, standin.platformPort),
            await ProgramProcess.create("proxy", { ...proxies[0]!, view }, proxies[0]!.callerPort),
            await ProgramProcess.create("proxy", { ...proxies[1]!, view }, proxies[1]!.callerPort),
        ];
    });

    afterEach(async () => {
        await Promise.allSettled(clients.splice(0).map(client => client.end()));
        await Promise.all(processes.map(each => each.kill()));
    });

    const receiveToken = (client: pg.Client): Promise<string> =>
        new Promise(resolve => {
            const connection = (client as unknown as { connection: NodeJS.EventEmitter; }).connection;
            connection.on("parameterStatus", (message: { parameterName: string; parameterValue: string; }) => {
                if (message.parameterName === "pomeloturn.token") {
                    resolve(message.parameterValue);
                }
            });
        });

    it("shows a session its own write at both proxies", async () => {
        const atFirst = await connect(0);
        const token = receiveToken(atFirst);
        await atFirst.query("INSERT INTO entries (key, value) VALUES ($1, $2)", ["a", "one"]);
        const read = await atFirst.query("SELECT value FROM entries WHERE key = $1", ["a"]);
        expect(read.rows).toEqual([{ value: "one" }]);
        const atSecond = await connect(1, await token);
        const readAtSecond = await atSecond.query("SELECT value FROM entries WHERE key = 'a'");
        expect(readAtSecond.rows).toEqual([{ value: "one" }]);
    });

    it("answers with a result code when the holder is killed during a transaction", async () => {
        const client = await connect(0);
        await client.query("BEGIN");
        await client.query("INSERT INTO entries (key, value) VALUES ('b', 'two')");
        const pending = client.query("SELECT pg_sleep(5)").catch((error: Error) => error);
        await new Promise(resolve => setTimeout(resolve, 100));
        await processes[2]!.kill("SIGKILL");
        expect(await pending).toMatchObject({ code: "40003", detail: "result=404 effect=outcome unknown" });
        const next = await client.query("SELECT 1").catch((error: Error) => error);
        expect(next).toMatchObject({ detail: "result=207 effect=not run" });
        await client.query("ROLLBACK");
    });

    it("refuses a caller with a wrong password", async () => {
        const client = new pg.Client({
            host: "127.0.0.1",
            port: deployment.proxies[0]!.callerPort,
            user: "editor",
            password: "wrong",
            database: "log-core",
        });
        await expect(client.connect()).rejects.toMatchObject({ code: "28P01" });
    });
});
