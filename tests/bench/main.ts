import { readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { Worker } from "node:worker_threads";
import pg from "pg";
import { ProgramProcess } from "../support/ProgramProcess.ts";
import { createSmallDeployment, type SmallDeployment } from "../support/smallDeployment.ts";
import type { LoadOptions, LoadReport } from "./loadWorker.ts";

const NO_EXPIRY_MS = 1e15;
const CLOCK_TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_TICK = 1e6 / CLOCK_TICKS_PER_SECOND;
const DURATION_MS = 5_000;
const LOAD_WORKER_COUNT = 3;
const IDLE_CONNECTION_COUNT = 2_200;

interface Measurement {
    readonly path: string;
    readonly connections: number;
    readonly statementsPerSecond: number;
    readonly p50Us: number;
    readonly p99Us: number;
    readonly errorCount: number;
    /** Processor time per statement of each program, in microseconds. */
    readonly cpuUsPerStatement: Readonly<Record<string, number>>;
}

interface Target {
    readonly path: string;
    readonly port: number;
    readonly user: string;
    readonly password: string;
    readonly database: string;
}

const readCpuUs = (pid: number): number => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) * MICROSECONDS_PER_TICK;
};

const readResidentBytes = (pid: number): number => {
    const line = readFileSync(`/proc/${pid}/status`, "utf8").split("\n").find(each => each.startsWith("VmRSS"))!;
    return Number(/\d+/.exec(line)![0]) * 1024;
};

const runLoad = (options: LoadOptions): Promise<LoadReport> =>
    new Promise((resolve, reject) => {
        const worker = new Worker("./dist/loadWorker.cjs", { workerData: options });
        worker.once("message", resolve);
        worker.once("error", reject);
    });

const measure = async (
    target: Target,
    processes: Readonly<Record<string, ProgramProcess>>,
    connections: number,
    writeShare: number,
): Promise<Measurement> => {
    const before = Object.entries(processes).map(([name, each]) => [name, readCpuUs(each.pid)] as const);
    const workers = Math.min(LOAD_WORKER_COUNT, connections);
    const reports = await Promise.all(
        Array.from({ length: workers }, (_each, index) =>
            runLoad({
                ...target,
                connections: Math.ceil(connections / workers),
                durationMs: DURATION_MS,
                writeShare,
                keyPrefix: `${target.path}-${index}`,
            })),
    );
    const count = reports.reduce((sum, report) => sum + report.count, 0);
    return {
        path: target.path,
        connections,
        statementsPerSecond: Math.round(count / (DURATION_MS / 1_000)),
        p50Us: Math.max(...reports.map(report => report.latenciesUs[0]!)),
        p99Us: Math.max(...reports.map(report => report.latenciesUs[1]!)),
        errorCount: reports.reduce((sum, report) => sum + report.errorCount, 0),
        cpuUsPerStatement: Object.fromEntries(
            before.map(([name, startUs]) => [name, Math.round((readCpuUs(processes[name]!.pid) - startUs) / count)]),
        ),
    };
};

const openIdleConnections = async (port: number): Promise<pg.Client[]> => {
    const clients: pg.Client[] = [];
    for (let index = 0; index < IDLE_CONNECTION_COUNT; index++) {
        const client = new pg.Client({ host: "127.0.0.1", port, user: "editor", password: "secret", database: "log-core" });
        client.on("error", () => undefined);
        await client.connect();
        clients.push(client);
    }
    return clients;
};

const createTargets = (deployment: SmallDeployment): Target[] => {
    const service = { user: "editor", password: "secret", database: "log-core" };
    const group = { user: "proxy", password: "backend", database: "log" };
    const instances = (deployment.standin["groups"] as { instances: Record<string, number>; }[])[0]!.instances;
    return [
        { path: "direct", port: instances["one"]!, ...group },
        { path: "one proxy", port: deployment.proxies[1]!.callerPort, ...service },
        { path: "two proxies", port: deployment.proxies[0]!.callerPort, ...service },
    ];
};

/** Measures statements over real sockets, sent directly to an instance, through one proxy and through two, and prints the results as JSON. */
const main = async (): Promise<void> => {
    const deployment = await createSmallDeployment(2, { expiresAtMs: NO_EXPIRY_MS });
    const { standin, proxies } = deployment;
    const holders = { one: proxies[1]!.vm, two: proxies[1]!.vm, three: proxies[1]!.vm };
    const group = { ...deployment.view.groups["log-1"]!, holders };
    const view = { ...deployment.view, groups: { "log-1": group } };
    const processes = {
        standin: await ProgramProcess.create("standin", standin, standin.platformPort),
        entry: await ProgramProcess.create("proxy", { ...proxies[0]!, view }, proxies[0]!.callerPort),
        holder: await ProgramProcess.create("proxy", { ...proxies[1]!, view }, proxies[1]!.callerPort),
    };
    // Read before any load, because the heap does not shrink after it and would hide the memory of the idle callers.
    const beforeBytes = readResidentBytes(processes.entry.pid);
    const clients = await openIdleConnections(proxies[0]!.callerPort);
    const idle = { connections: clients.length, beforeBytes, residentBytes: readResidentBytes(processes.entry.pid) };
    const sockets = clients.map(client => (client as unknown as { connection: { stream: Socket; }; }).connection.stream);
    sockets.forEach(socket => socket.destroy());
    const measurements: Measurement[] = [];
    for (const connections of [1, 48]) {
        for (const target of createTargets(deployment)) {
            measurements.push(await measure(target, processes, connections, 0.1));
        }
    }
    await Promise.all(Object.values(processes).map(each => each.kill()));
    process.stdout.write(`${JSON.stringify({ measurements, idle }, undefined, 4)}\n`);
    process.exit();
};

void main();
