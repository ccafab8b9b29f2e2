import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { LineWriter } from "@pomeloturn/logger/LineWriter";
import { encodeInstanceReply } from "@pomeloturn/platform/encodeInstanceReply";
import { lineCallerProtocol, lineInstanceProtocol } from "@pomeloturn/platform/lineProtocol";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { SessionRunner } from "@pomeloturn/statement-runner/SessionRunner";
import { CallerMessageKind } from "@pomeloturn/types/CallerMessage";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import { openSync } from "node:fs";

const WARM_UP_COUNT = 20_000;
const MEASURED_COUNT = 50_000;
const SESSION_COUNT = 5_000;
const LINE_COUNT = 20_000;
const ROUNDING_FACTOR = 1_000;
const DATABASE = "orders";
const SERVICE = "ledger";
const ROW_TEXT = "qhzkwmtrbelo";
const PROOF = "7.1f3.c.2b.90e1c4d2a7b3f655";

/** Processor time of a statement from the caller's line to the line of the reply, heap of a session, and processor time of a log line. */
export interface StatementCost {
    readonly readAtReplicaMicroseconds: number;
    readonly readAtPrimaryMicroseconds: number;
    readonly writeMicroseconds: number;
    readonly idleSessionBytes: number;
    readonly logLineMicroseconds: number;
}

/** Creates a channel to a simulated instance without a network. Commands are encoded and replies decoded as over a socket. */
const createChannel = (): CommandChannel => {
    const decoder = lineInstanceProtocol.createDecoder();
    let lastPosition = 0;
    let status: TransactionStatus = TransactionStatus.Idle;
    const reply = (rows: readonly string[]): InstanceReply => {
        const text = encodeInstanceReply({ rows, proof: PROOF, status, position: { term: 1, position: ++lastPosition } });
        return decoder.push(Buffer.from(text, "latin1"))[0]!;
    };
    const execute = (command: InstanceCommand): InstanceReply => {
        Buffer.from(lineInstanceProtocol.encodeCommand(command), "latin1");
        if (command.kind === CommandKind.Begin || command.kind === CommandKind.Rollback) {
            status = command.kind === CommandKind.Begin ? TransactionStatus.Open : TransactionStatus.Idle;
        }
        return reply(command.kind === CommandKind.Forward ? [ROW_TEXT] : []);
    };
    return {
        startupReply: Promise.resolve(reply([])),
        isClosed: false,
        outstandingReplyCount: 0,
        send: commands => commands.map(command => Promise.resolve(execute(command))),
        close: () => {},
    };
};

const createDirectory = (): ServiceDirectory => {
    const directory = ServiceDirectory.create(() =>
        InstancePool.create({ nowMs: () => performance.now(), open: createChannel, onOpenFailed: () => {}, onLost: () => {} })
    );
    const commonRoute = { service: SERVICE, timeoutMs: 1_000, targetLatencyMs: 500, rank: 0 };
    const primaryRoute = { ...commonRoute, database: DATABASE, freshness: Freshness.Primary, maximumAgeMs: undefined };
    const boundedRoute = { ...commonRoute, database: `${DATABASE}-aged`, freshness: Freshness.Bounded, maximumAgeMs: 1_500 };
    directory.applyRoutes({
        version: 1,
        routes: new Map([primaryRoute, boundedRoute].map(route => [route.database, route])),
        services: new Map([[SERVICE, { name: SERVICE, connectionLimit: 16, syncReplicas: 0 }]]),
        transactionIdleMs: 3_000,
    });
    ["one", "two", "three"].forEach((id, index) =>
        directory.applyEntry({
            id,
            service: SERVICE,
            host: "127.0.0.1",
            port: index + 1,
            failureDomain: "north-a",
            slots: 2,
            isDraining: false,
            isPrimary: index === 0,
            startedAtMs: undefined,
            reportNumber: undefined,
            writtenAt: { era: 1, version: index + 1 },
        })
    );
    return directory;
};

const createPorts = (): RunnerPorts => ({
    directory: createDirectory(),
    nowMs: () => performance.now(),
    random: () => 1 / 2,
    detectSuspensions: () => 0,
    distanceTo: () => Distance.SameDomain,
    onInstanceSuspected: () => {},
    onStatement: () => {},
    onUnexpectedError: error => {
        throw error;
    },
});

/** @returns processor time per statement, in microseconds */
const measureStatement = async (database: string, text: string, ports: RunnerPorts): Promise<number> => {
    const runner = SessionRunner.create(database, "", ports);
    const decoder = lineCallerProtocol.createDecoder();
    const line = Buffer.from(`QUERY 5c0e7a21d94b36f8 ${text}\r\n`, "latin1");
    const run = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index++) {
            for (const message of decoder.push(line)) {
                if (message.kind === CallerMessageKind.Statement) {
                    lineCallerProtocol.encodeReply(await runner.run(message.statement));
                }
            }
        }
    };
    await run(WARM_UP_COUNT);
    const cpuUsageBefore = process.cpuUsage();
    await run(MEASURED_COUNT);
    const { user, system } = process.cpuUsage(cpuUsageBefore);
    return (user + system) / MEASURED_COUNT;
};

/** @returns heap size of an idle session with its decoder and without its socket, in bytes */
const measureSession = (ports: RunnerPorts): number => {
    const sessions: unknown[] = [];
    globalThis.gc?.();
    const heapBeforeBytes = process.memoryUsage().heapUsed;
    for (let index = 0; index < SESSION_COUNT; index++) {
        sessions.push([SessionRunner.create(DATABASE, "", ports), lineCallerProtocol.createDecoder()]);
    }
    globalThis.gc?.();
    return (process.memoryUsage().heapUsed - heapBeforeBytes) / sessions.length;
};

/** @returns processor time per log line, in microseconds */
const measureLogLine = async (): Promise<number> => {
    const writer = LineWriter.create(openSync("/dev/null", "w"));
    const line = { requestId: "5c0e7a21d94b36f8", service: SERVICE, rank: 0, code: 0, latencyMs: 12.5, instance: "one", attempts: 1 };
    const cpuUsageBefore = process.cpuUsage();
    for (let index = 0; index < LINE_COUNT; index++) {
        writer.write(JSON.stringify(line));
    }
    await new Promise<void>(resolve => writer.flush(resolve));
    const { user, system } = process.cpuUsage(cpuUsageBefore);
    return (user + system) / LINE_COUNT;
};

const round = (value: number): number => Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;

/** Measures the path of a statement through the entry program, without sockets. */
export const statementCost = async (): Promise<StatementCost> => {
    const ports = createPorts();
    return {
        readAtReplicaMicroseconds: round(await measureStatement(`${DATABASE}-aged`, "READ 1a4", ports)),
        readAtPrimaryMicroseconds: round(await measureStatement(DATABASE, "READ 1a4", ports)),
        writeMicroseconds: round(await measureStatement(DATABASE, "WRITE 1a4 xkqpwnzd", ports)),
        idleSessionBytes: Math.round(measureSession(ports)),
        logLineMicroseconds: round(await measureLogLine()),
    };
};
