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
const PROMOTE_MS = 300;
const PROMISED_EFFECT = "not run";

/** One operation of a session. */
export interface ScriptedOperation {
    readonly session: number;
    readonly gapMs: number;
    readonly kind: "read" | "write" | "executeRead" | "executeWrite" | "readTransaction" | "writeTransaction" | "setValue" | "rollback";
}

/** A fault at a time of the script. */
export interface ScriptedFault {
    readonly atMs: number;
    readonly kind: "promote" | "crashLeader" | "darkReplica" | "lag" | "answersLost" | "busy" | "suspend" | "leave";
    readonly target: number;
}

/** Changes what the proxy sends, to show that the check notices a missing guard. */
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
    /** Differs for each caller, also at the same place. */
    readonly key: number;
    readonly runner: SessionRunner;
    readonly route: RouteEntry;
    readonly values: Map<string, string>;
    transactions: number;
    /** When the last transaction began. */
    begunAtMs: number;
    isGone: boolean;
}

/** VMs with sessions before one modelled group, in virtual time. */
export class PromiseSimulation {
    readonly group: ModelGroup;
    served = 0;
    private readonly faults: ChannelFaults;
    private readonly directories: ServiceDirectory[] = [];
    private readonly sessions: SimulatedSession[] = [];
    /** The last operation at each session's place. */
    private readonly last: Promise<void>[] = [];
    private nextKey = 1;
    private nextId = 1;
    private revision = 1;
    private suspensions = 0;

    constructor(seed: number, private readonly mutate: ChannelMutation = channel => channel) {
        const generator = xoroshiro128plus(seed);
        this.faults = { answerLostShare: 0, busyShare: 0, random: () => uniformFloat64(generator) };
        this.group = new ModelGroup(INSTANCES, () => performance.now());
        for (let vm = 0; vm < 2; vm++) {
            this.directories.push(this.createDirectory());
        }
        this.list();
        for (let session = 0; session < 6; session++) {
            this.sessions.push(this.createSession(session));
            this.last.push(Promise.resolve());
        }
    }

    private createSession(place: number): SimulatedSession {
        const route = ROUTES[place % ROUTES.length]!;
        const runner = SessionRunner.create(route.database, this.createPorts(this.directories[place % 2]!));
        return { key: this.nextKey++, runner, route, values: new Map(), transactions: 0, begunAtMs: 0, isGone: false };
    }

    /** Starts a session's operation behind the one before. */
    start({ session: index, kind, gapMs }: ScriptedOperation): void {
        this.last[index] = this.last[index]!.then(() => new Promise(resolve => setTimeout(resolve, gapMs))).then(() =>
            this.operate(this.sessions[index]!, kind)
        );
    }

    async finished(): Promise<void> {
        await Promise.all(this.last);
    }

    inject({ kind, target }: ScriptedFault): void {
        const { group, faults } = this;
        const replica = group.instances.filter(({ id }) => id !== group.leaderId)[target % 2]!;
        const handlers: Readonly<Record<ScriptedFault["kind"], () => void>> = {
            promote: () => this.promote(replica.id),
            crashLeader: () => {
                group.find(group.leaderId).generation++;
                this.promote(replica.id);
            },
            darkReplica: () => {
                replica.isDark = true;
                setTimeout(() => replica.isDark = false, TIMEOUT_MS);
            },
            lag: () => {
                replica.lagMs = 700;
                setTimeout(() => replica.lagMs = 20, 2 * TIMEOUT_MS);
            },
            answersLost: () => this.during(share => faults.answerLostShare = share, 0.3),
            busy: () => this.during(share => faults.busyShare = share, 0.5),
            suspend: () => this.suspendAll(),
            leave: () => this.sessions.forEach((_session, place) => this.leave(place)),
        };
        handlers[kind]();
    }

    private during(set: (share: number) => void, share: number): void {
        set(share);
        setTimeout(() => set(0), TIMEOUT_MS);
    }

    /** A caller leaves, maybe in the middle of an operation; another one takes its place. */
    private leave(place: number): void {
        const session = this.sessions[place]!;
        session.isGone = true;
        session.runner.close();
        this.sessions[place] = this.createSession(place);
    }

    /** The VMs notice that they stood still: what they know has unknown age. */
    private suspendAll(): void {
        this.suspensions++;
        for (const directory of this.directories) {
            directory.services.get("group")!.samples.samples.length = 0;
        }
    }

    private promote(id: string): void {
        this.group.promote(id);
        setTimeout(() => this.list(), PROMOTE_MS + LISTING_DELAY_MS);
    }

    private list(): void {
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
                    revision: this.revision++,
                })
            );
        }
    }

    private createDirectory(): ServiceDirectory {
        const directory = ServiceDirectory.create(({ id }) =>
            InstancePool.create({
                nowMs: () => performance.now(),
                open: onClosed =>
                    this.mutate(new ModelChannel(this.group, this.group.find(id), this.faults, () => performance.now(), onClosed)),
                onOpenFailed: () => {},
                onLost: () => {},
            })
        );
        directory.applyRoutes({
            version: 1,
            routes: new Map(ROUTES.map(each => [each.database, each])),
            services: new Map([["group", { name: "group", connectionLimit: 16 }]]),
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
            detectSuspensions: () => this.suspensions,
            distanceTo: () => Distance.SameDomain,
            onInstanceSuspected: () => {},
            onStatement: () => {},
            onUnexpectedError: error => this.group.violations.push(`FAULT ${error.message}`),
        };
    }

    private async operate(session: SimulatedSession, kind: ScriptedOperation["kind"]): Promise<void> {
        const single = (statementKind: StatementKind, name = "", argument = "", isWrite = false): Promise<CallerReply> =>
            this.run(session, { kind: statementKind, name, argument, isWrite }, undefined, []);
        const handlers: Readonly<Record<ScriptedOperation["kind"], () => Promise<unknown>>> = {
            read: () => single(StatementKind.Read),
            write: () => single(StatementKind.Write),
            executeRead: async () => {
                await single(StatementKind.Prepare, "p", `read${session.key}`);
                await single(StatementKind.Execute, "p", "x");
            },
            executeWrite: async () => {
                await single(StatementKind.Prepare, "q", `write${session.key}`, true);
                await single(StatementKind.Execute, "q", "x");
            },
            readTransaction: () => this.transact(session, StatementKind.BeginRead, [StatementKind.Read, StatementKind.Read], true),
            writeTransaction: () => this.transact(session, StatementKind.Begin, [StatementKind.Read, StatementKind.Write], true),
            rollback: () => this.transact(session, StatementKind.Begin, [StatementKind.Write], false),
            setValue: () => {
                session.values.set("language", `${session.key}-${this.nextId}`);
                return single(StatementKind.Set, "language", session.values.get("language"));
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
        const transaction = ++session.transactions;
        session.begunAtMs = performance.now();
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

    /** Runs a statement and tells the check what the caller was told. @param ids requests of the attempt so far */
    private async run(
        session: SimulatedSession,
        part: Pick<Statement, "kind" | "name" | "argument" | "isWrite">,
        transaction: number | undefined,
        ids: string[],
    ): Promise<CallerReply> {
        if (session.isGone) {
            return createErrorReply(ResultCode.TransactionLost, "the caller has gone", TransactionStatus.Idle);
        }
        const id = `r${this.nextId++}`;
        const shape = part.kind === StatementKind.Execute ? `${part.name === "p" ? "read" : "write"}${session.key}` : undefined;
        this.group.expectations.set(id, {
            session: session.key,
            sentAtMs: transaction === undefined ? performance.now() : session.begunAtMs,
            maximumAgeMs: session.route.freshness === Freshness.Primary ? 0 : MAXIMUM_AGE_MS,
            seesOwn: session.route.freshness === Freshness.ReadYourWrites,
            values: new Map(session.values),
            shape,
            transaction,
        });
        ids.push(id);
        const reply = await session.runner.run({ id, text: `${part.kind} ${id}`, ...part });
        this.served += reply.code === ResultCode.Ok ? 1 : 0;
        const isDurable = transaction === undefined || part.kind === StatementKind.Commit;
        if (reply.code === ResultCode.Ok && isDurable) {
            this.group.acknowledge(ids, session.key);
        }
        if (resultTable.get(reply.code as ResultCode)?.effect === PROMISED_EFFECT) {
            this.group.promise(ids);
        }
        return reply;
    }
}
