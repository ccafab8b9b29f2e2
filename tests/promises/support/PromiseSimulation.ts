import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { SessionRunner } from "@pomeloturn/statement-runner/SessionRunner";
import { createErrorReply } from "@pomeloturn/statement-session/answerLocally";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { Freshness, type RouteEntry } from "@pomeloturn/types/ServiceEntries";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type ChannelFaults, ModelChannel } from "./ModelChannel.ts";
import { ModelGroup } from "./ModelGroup.ts";

const INSTANCES = ["instance-a", "instance-b", "instance-c"] as const;
const MAXIMUM_AGE_MS = 400;
const TIMEOUT_MS = 800;
const LISTING_DELAY_MS = 30;
const PROMOTION_DURATION_MS = 300;
const NOT_RUN_EFFECT = "not run";

/** An operation of a session, started `gapMs` after the end of the previous one. */
export interface ScriptedOperation {
    readonly session: number;
    readonly gapMs: number;
    readonly kind:
        | "read"
        | "write"
        | "executeRead"
        | "executeWrite"
        | "readTransaction"
        | "writeTransaction"
        | "changeSetting"
        | "rollback";
}

/** A fault that is injected at a time of the script. */
export interface ScriptedFault {
    readonly atMs: number;
    readonly kind: "promote" | "crashLeader" | "unresponsiveReplica" | "lag" | "lostReplies" | "busy" | "suspendVms" | "disconnectCallers";
    readonly target: number;
}

/** Changes what the proxy sends or receives, to show that the check detects a missing guard. */
export type ChannelMutation = (channel: CommandChannel) => CommandChannel;

const route = (database: string, freshness: Freshness): RouteEntry => ({
    database,
    service: "group",
    freshness,
    maximumAgeMs: freshness === Freshness.Primary ? undefined : MAXIMUM_AGE_MS,
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: TIMEOUT_MS,
    rank: 0,
});

const ROUTES = [route("strict", Freshness.Primary), route("aged", Freshness.Bounded), route("own", Freshness.ReadYourWrites)];

interface SimulatedSession {
    /** Unique for each caller, also among the callers that follow one another at the same index. */
    readonly key: number;
    readonly runner: SessionRunner;
    readonly route: RouteEntry;
    readonly settings: Map<string, string>;
    transactionCount: number;
    /** When the most recent transaction began. */
    transactionStartedAtMs: number;
    isDisconnected: boolean;
}

/** Simulates VMs with sessions that use one simulated group, in virtual time. */
export class PromiseSimulation {
    readonly group: ModelGroup;
    servedCount = 0;
    private readonly faults: ChannelFaults;
    private readonly directories: ServiceDirectory[] = [];
    private readonly sessions: SimulatedSession[] = [];
    /** Completion of the most recent operation at each session index. */
    private readonly lastOperations: Promise<void>[] = [];
    private nextKey = 1;
    private nextId = 1;
    private storeVersion = 1;
    private suspensionCount = 0;

    constructor(seed: number, private readonly mutate: ChannelMutation = channel => channel) {
        const generator = xoroshiro128plus(seed);
        this.faults = { replyLossShare: 0, busyShare: 0, random: () => uniformFloat64(generator) };
        this.group = new ModelGroup(INSTANCES, () => performance.now());
        for (let vm = 0; vm < 2; vm++) {
            this.directories.push(this.createDirectory());
        }
        this.applyListing();
        for (let session = 0; session < 6; session++) {
            this.sessions.push(this.createSession(session));
            this.lastOperations.push(Promise.resolve());
        }
    }

    private createSession(index: number): SimulatedSession {
        const route = ROUTES[index % ROUTES.length]!;
        const runner = SessionRunner.create(route.database, "", this.createPorts(this.directories[index % 2]!));
        return {
            key: this.nextKey++,
            runner,
            route,
            settings: new Map(),
            transactionCount: 0,
            transactionStartedAtMs: 0,
            isDisconnected: false,
        };
    }

    /** Queues an operation behind the session's previous one. */
    startOperation({ session: index, kind, gapMs }: ScriptedOperation): void {
        this.lastOperations[index] = this.lastOperations[index]!.then(() => new Promise(resolve => setTimeout(resolve, gapMs))).then(() =>
            this.execute(this.sessions[index]!, kind)
        );
    }

    async waitForOperations(): Promise<void> {
        await Promise.all(this.lastOperations);
    }

    injectFault({ kind, target }: ScriptedFault): void {
        const { group, faults } = this;
        const replica = group.instances.filter(({ id }) => id !== group.leaderId)[target % 2]!;
        const handlers: Readonly<Record<ScriptedFault["kind"], () => void>> = {
            promote: () => this.promote(replica.id),
            crashLeader: () => {
                group.findInstance(group.leaderId).generation++;
                this.promote(replica.id);
            },
            unresponsiveReplica: () => {
                replica.isUnresponsive = true;
                setTimeout(() => replica.isUnresponsive = false, TIMEOUT_MS);
            },
            lag: () => {
                replica.lagMs = 700;
                setTimeout(() => replica.lagMs = 20, 2 * TIMEOUT_MS);
            },
            lostReplies: () => this.setTemporarily(share => faults.replyLossShare = share, 0.3),
            busy: () => this.setTemporarily(share => faults.busyShare = share, 0.5),
            suspendVms: () => this.suspendAll(),
            disconnectCallers: () => this.sessions.forEach((_session, index) => this.disconnect(index)),
        };
        handlers[kind]();
    }

    private setTemporarily(set: (share: number) => void, share: number): void {
        set(share);
        setTimeout(() => set(0), TIMEOUT_MS);
    }

    /** Disconnects a caller, possibly during an operation, and lets another one connect at its index. */
    private disconnect(index: number): void {
        const session = this.sessions[index]!;
        session.isDisconnected = true;
        session.runner.close();
        this.sessions[index] = this.createSession(index);
    }

    /** Lets the VMs detect a suspension: the age of their samples is unknown, so the samples are dropped. */
    private suspendAll(): void {
        this.suspensionCount++;
        for (const directory of this.directories) {
            directory.services.get("group")!.samples.samples.length = 0;
        }
    }

    private promote(id: string): void {
        this.group.promote(id);
        setTimeout(() => this.applyListing(), PROMOTION_DURATION_MS + LISTING_DELAY_MS);
    }

    private applyListing(): void {
        for (const directory of this.directories) {
            INSTANCES.forEach((id, index) =>
                directory.applyEntry({
                    id,
                    service: "group",
                    host: "127.0.0.1",
                    port: index + 1,
                    failureDomain: "domain",
                    slots: 2,
                    isDraining: false,
                    isPrimary: id === this.group.leaderId,
                    startedAtMs: 1,
                    reportNumber: undefined,
                    writtenAt: { era: 1, version: this.storeVersion++ },
                })
            );
        }
    }

    private createDirectory(): ServiceDirectory {
        const directory = ServiceDirectory.create(({ id }) =>
            InstancePool.create({
                nowMs: () => performance.now(),
                open: onClosed =>
                    this.mutate(new ModelChannel(this.group, this.group.findInstance(id), this.faults, () => performance.now(), onClosed)),
                onOpenFailed: () => {},
                onLost: () => {},
            })
        );
        directory.applyRoutes({
            version: 1,
            routes: new Map(ROUTES.map(each => [each.database, each])),
            services: new Map([["group", { name: "group", connectionLimit: 16, syncReplicas: 0 }]]),
            transactionIdleMs: 3_000,
        });
        directory.setVmCount(2);
        return directory;
    }

    private createPorts(directory: ServiceDirectory): RunnerPorts {
        return {
            directory,
            nowMs: () => performance.now(),
            random: () => this.faults.random(),
            detectSuspensions: () => this.suspensionCount,
            distanceTo: () => Distance.SameDomain,
            onInstanceSuspected: () => {},
            onStatement: () => {},
            onUnexpectedError: error => this.group.violations.push(`FAULT ${error.message}`),
        };
    }

    private async execute(session: SimulatedSession, kind: ScriptedOperation["kind"]): Promise<void> {
        const runSingle = (statementKind: StatementKind, name = "", argument = "", isWrite = false): Promise<CallerReply> =>
            this.run(session, { kind: statementKind, name, argument, isWrite }, undefined, []);
        const handlers: Readonly<Record<ScriptedOperation["kind"], () => Promise<unknown>>> = {
            read: () => runSingle(StatementKind.Read),
            write: () => runSingle(StatementKind.Write),
            executeRead: async () => {
                await runSingle(StatementKind.Prepare, "p", `read${session.key}`);
                await runSingle(StatementKind.Execute, "p", "x");
            },
            executeWrite: async () => {
                await runSingle(StatementKind.Prepare, "q", `write${session.key}`, true);
                await runSingle(StatementKind.Execute, "q", "x");
            },
            readTransaction: () => this.transact(session, StatementKind.BeginRead, [StatementKind.Read, StatementKind.Read], true),
            writeTransaction: () => this.transact(session, StatementKind.Begin, [StatementKind.Read, StatementKind.Write], true),
            rollback: () => this.transact(session, StatementKind.Begin, [StatementKind.Write], false),
            changeSetting: () => {
                session.settings.set("language", `${session.key}-${this.nextId}`);
                return runSingle(StatementKind.Set, "language", session.settings.get("language"));
            },
        };
        await handlers[kind]();
    }

    private async transact(
        session: SimulatedSession,
        begin: StatementKind,
        kinds: readonly StatementKind[],
        isCommitted: boolean,
    ): Promise<void> {
        const transaction = ++session.transactionCount;
        session.transactionStartedAtMs = performance.now();
        const ids: string[] = [];
        const plain = { name: "", argument: "", isWrite: false };
        await this.run(session, { kind: begin, ...plain }, transaction, ids);
        for (const kind of kinds) {
            const reply = await this.run(session, { kind, ...plain }, transaction, ids);
            if (reply.code !== ResultCode.Ok) {
                await this.run(session, { kind: StatementKind.Rollback, ...plain }, transaction, []);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 15));
        }
        await this.run(session, { kind: isCommitted ? StatementKind.Commit : StatementKind.Rollback, ...plain }, transaction, ids);
    }

    /**
     * Runs a statement and records the outcome that was reported to the caller.
     *
     * @param ids request ids of the transaction so far; the statement's id is added
     */
    private async run(
        session: SimulatedSession,
        part: Pick<Statement, "kind" | "name" | "argument" | "isWrite">,
        transactionNumber: number | undefined,
        ids: string[],
    ): Promise<CallerReply> {
        if (session.isDisconnected) {
            return createErrorReply(ResultCode.TransactionLost, "the caller disconnected", TransactionStatus.Idle);
        }
        const id = `r${this.nextId++}`;
        const shape = part.kind === StatementKind.Execute ? `${part.name === "p" ? "read" : "write"}${session.key}` : undefined;
        this.group.expectations.set(id, {
            session: session.key,
            sentAtMs: transactionNumber === undefined ? performance.now() : session.transactionStartedAtMs,
            maximumAgeMs: session.route.freshness === Freshness.Primary ? 0 : MAXIMUM_AGE_MS,
            areOwnWritesRequired: session.route.freshness === Freshness.ReadYourWrites,
            settings: new Map(session.settings),
            shape,
            transactionNumber,
        });
        ids.push(id);
        const reply = await session.runner.run({ id, text: `${part.kind} ${id}`, ...part });
        this.servedCount += reply.code === ResultCode.Ok ? 1 : 0;
        const isDurable = transactionNumber === undefined || part.kind === StatementKind.Commit;
        if (reply.code === ResultCode.Ok && isDurable) {
            this.group.recordAcknowledgement(ids, session.key);
        }
        if (resultTable.get(reply.code as ResultCode)?.effect === NOT_RUN_EFFECT) {
            this.group.recordNotRun(ids);
        }
        return reply;
    }
}
