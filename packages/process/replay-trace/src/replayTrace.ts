import { advanceAccount, chargeLink, createLinkAccount, type LinkAccount } from "@pomeloturn/charge-link/LinkAccount";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { EntryModel } from "./EntryModel.ts";
import { EventQueue } from "./EventQueue.ts";
import { InstanceModel } from "./InstanceModel.ts";
import { LinkMeter } from "./LinkMeter.ts";
import { measureFloorShortfall } from "./measureFloorShortfall.ts";
import { oneWayMs, type ReplayDeployment } from "./ReplayDeployment.ts";
import { type FinishedRequest, type ReplayReport, reportRank, reportReplicaShares } from "./ReplayReport.ts";
import { ReplicationModel } from "./ReplicationModel.ts";
import type { RoutingPolicy } from "./routingPolicies.ts";
import { type FaultLine, type RequestLine, type TraceLine, TraceLineKind } from "./TraceLine.ts";

const STATUS_INTERVAL_MS = 200;
const REQUEST_SIZE_BYTES = 300;
const RETRY_DELAY_MS = 50;
const DRAIN_TIME_MS = 20_000;
const SECOND_MS = 1_000;
const LEASED_SHARE = 0.5;

/** The last acknowledged write of a session. */
interface SessionWrite {
    readonly position: number;
    readonly acknowledgedAtMs: number;
}

const NO_WRITE: SessionWrite = { position: 0, acknowledgedAtMs: 0 };

interface Attempt {
    readonly line: RequestLine;
    readonly arrivedAtMs: number;
    readonly entry: EntryModel;
    readonly write: SessionWrite;
    readonly isProvable: boolean;
}

/** Replays a trace through the routing and admission decisions in virtual time. */
class Replay {
    private readonly events = EventQueue.create();
    private readonly link = LinkMeter.create();
    private readonly replication: ReplicationModel;
    private readonly instances = new Map<string, InstanceModel>();
    private readonly entries = new Map<string, EntryModel>();
    private readonly sessionWrites = new Map<number, SessionWrite>();
    private readonly finished: FinishedRequest[] = [];
    private readonly arrivedCounts: number[];
    /** Link accounts by pair of regions. */
    private readonly accounts = new Map<string, LinkAccount>();

    constructor(
        private readonly deployment: ReplayDeployment,
        private readonly trace: readonly TraceLine[],
        policy: RoutingPolicy,
        seed: number,
    ) {
        const generator = xoroshiro128plus(seed);
        const random = (): number => uniformFloat64(generator);
        const faults = trace.filter((line): line is FaultLine => line.kind !== TraceLineKind.Request);
        this.replication = ReplicationModel.create(deployment, faults);
        this.arrivedCounts = deployment.ranks.map(() => 0);
        for (const name of Object.keys(deployment.instances)) {
            this.instances.set(name, InstanceModel.create(deployment, this.events));
        }
        for (const vm of Object.keys(deployment.vms)) {
            const linkUse = (target: string, nowMs: number): number => this.linkUse(target, vm, nowMs);
            this.entries.set(vm, EntryModel.create(deployment, vm, policy, random, linkUse));
        }
    }

    run(): ReplayReport {
        const endMs = (this.trace.at(-1)?.atMs ?? 0) + DRAIN_TIME_MS;
        for (const line of this.trace) {
            if (line.kind === TraceLineKind.Request) {
                this.schedule(line);
            }
        }
        for (let atMs = 0; atMs < endMs; atMs += STATUS_INTERVAL_MS) {
            this.events.schedule(atMs, nowMs => this.sendStatusReports(nowMs));
        }
        this.events.run(endMs);
        return this.createReport();
    }

    private schedule(line: RequestLine): void {
        const count = line.count ?? 1;
        for (let index = 0; index < count; index++) {
            this.events.schedule(line.atMs + index * (line.overMs ?? 0) / count, nowMs => this.handleArrival(line, nowMs));
        }
    }

    private handleArrival(line: RequestLine, nowMs: number): void {
        this.arrivedCounts[line.rank]!++;
        const write = this.sessionWrites.get(line.session) ?? NO_WRITE;
        const isProvable = !line.isWrite && this.isProvable(line, write.position, nowMs);
        this.routeAttempt({ line, arrivedAtMs: nowMs, entry: this.entries.get(line.vm)!, write, isProvable }, new Set(), nowMs);
    }

    /** Whether some replica is fresh enough for the read at this moment. */
    private isProvable(line: RequestLine, sessionPosition: number, nowMs: number): boolean {
        return Object.keys(this.deployment.instances).some(name => {
            const isOld = line.maximumAgeMs !== undefined
                && this.replication.position(name, nowMs) < this.replication.position(this.replication.primary, nowMs - line.maximumAgeMs);
            return name !== this.replication.primary && !isOld && this.replication.position(name, nowMs) >= sessionPosition;
        });
    }

    private routeAttempt(attempt: Attempt, excluded: Set<string>, nowMs: number): void {
        const { line, entry, write } = attempt;
        const { primary } = this.replication;
        const sinceWriteMs = nowMs - write.acknowledgedAtMs;
        const read = { sessionPosition: write.position, sinceWriteMs, maximumAgeMs: line.maximumAgeMs, answerBytes: line.answerBytes };
        const instance = line.isWrite ? primary : entry.chooseReplica(read, primary, excluded, nowMs) ?? primary;
        if (instance === primary && this.replication.isPrimaryDown(nowMs)) {
            this.retryLater(attempt, nowMs);
            return;
        }
        this.send(attempt, instance, excluded, nowMs);
    }

    private retryLater(attempt: Attempt, nowMs: number): void {
        if (nowMs + RETRY_DELAY_MS > this.deadlineAtMs(attempt)) {
            this.recordFinished(attempt, undefined, nowMs, false);
            return;
        }
        this.events.schedule(nowMs + RETRY_DELAY_MS, laterMs => this.routeAttempt(attempt, new Set(), laterMs));
    }

    private send(attempt: Attempt, instance: string, excluded: Set<string>, nowMs: number): void {
        const { line, entry } = attempt;
        const target = this.deployment.instances[instance]!;
        if (!this.tryChargeLink(target, entry.failureDomain, line, nowMs)) {
            this.recordFinished(attempt, undefined, nowMs, false);
            return;
        }
        const delayMs = oneWayMs(this.deployment, entry.failureDomain, target);
        entry.statistics.countSent(instance);
        this.recordLinkBytes(entry.failureDomain, target, REQUEST_SIZE_BYTES, nowMs);
        this.events.schedule(nowMs + delayMs, arrivedMs => {
            if (
                !line.isWrite && instance !== this.replication.primary
                && this.replication.position(instance, arrivedMs) < attempt.write.position
            ) {
                this.handleReplicaBehind(attempt, instance, excluded, delayMs, arrivedMs);
                return;
            }
            this.instances.get(instance)!.submit({
                rank: line.rank,
                deadlineAtMs: this.deadlineAtMs(attempt),
                serviceTimeMs: line.serviceTimeMs,
                onFinished: finishedMs => this.handleStatementFinished(attempt, instance, delayMs, finishedMs),
                onRefused: refusedMs =>
                    this.events.schedule(refusedMs + delayMs, laterMs => this.recordFinished(attempt, undefined, laterMs, false, instance)),
            }, arrivedMs);
        });
    }

    /** Handles a refusal by a replica that lacks the required position: the entry VM tries another instance. */
    private handleReplicaBehind(attempt: Attempt, instance: string, excluded: Set<string>, delayMs: number, nowMs: number): void {
        this.events.schedule(nowMs + delayMs, laterMs => {
            this.recordCompleted(attempt.entry, instance);
            attempt.entry.statistics.recordLag(instance, nowMs - attempt.write.acknowledgedAtMs, true);
            this.routeAttempt(attempt, new Set([...excluded, instance]), laterMs);
        });
    }

    private handleStatementFinished(attempt: Attempt, instance: string, delayMs: number, finishedMs: number): void {
        const { line, entry } = attempt;
        const position = line.isWrite ? this.replication.commit(finishedMs) : this.replication.position(instance, finishedMs);
        this.recordLinkBytes(this.deployment.instances[instance]!, entry.failureDomain, line.answerBytes, finishedMs);
        this.events.schedule(finishedMs + delayMs, nowMs => {
            if (line.isWrite) {
                this.sessionWrites.set(line.session, { position, acknowledgedAtMs: nowMs });
            }
            else if (instance !== this.replication.primary) {
                entry.statistics.recordLag(instance, finishedMs - attempt.write.acknowledgedAtMs, false);
            }
            const isStale = !line.isWrite && position < attempt.write.position;
            this.recordFinished(attempt, instance, nowMs, isStale, instance);
        });
    }

    private recordFinished(attempt: Attempt, servedBy: string | undefined, nowMs: number, isStale: boolean, sentTo?: string): void {
        if (sentTo !== undefined) {
            this.recordCompleted(attempt.entry, sentTo);
        }
        this.finished.push({
            rank: attempt.line.rank,
            latencyMs: nowMs - attempt.arrivedAtMs,
            isServed: servedBy !== undefined,
            isRead: !attempt.line.isWrite,
            isProvable: attempt.isProvable,
            isReplica: servedBy !== undefined && servedBy !== this.replication.primary,
            isStale,
        });
    }

    /**
     * Charges the request and its expected answer to the link's account, as an entry VM does before it sends.
     *
     * @returns whether the account covers them
     */
    private tryChargeLink(fromDomain: string, toDomain: string, line: RequestLine, nowMs: number): boolean {
        const { regions } = this.deployment;
        if (regions[fromDomain] === regions[toDomain]) {
            return true;
        }
        const key = `${regions[fromDomain]}>${regions[toDomain]}`;
        const account = this.accounts.get(key) ?? this.createAccount(nowMs);
        this.accounts.set(key, account);
        return chargeLink(account, line.rank, line.answerBytes + REQUEST_SIZE_BYTES, 0, nowMs) === ResultCode.Ok;
    }

    /**
     * Creates an account with a lease that never expires. A burst may double its rate within a second, so the rate is
     * half of the approved one.
     */
    private createAccount(nowMs: number): LinkAccount {
        const bytesPerSecond = this.deployment.approvedBytesPerSecond * LEASED_SHARE;
        const limits = { leasableBytesPerSecond: bytesPerSecond, leasableBytesPerMonth: Infinity, fallbackBytesPerSecond: 0 };
        const account = createLinkAccount("replay", limits, nowMs - SECOND_MS);
        account.lease.bytesPerSecond = bytesPerSecond;
        account.lease.expiresAtMs = Infinity;
        account.lease.monthRemainingBytes = Infinity;
        // Starts the lease a second earlier, as on a VM that was running before the trace.
        advanceAccount(account, nowMs - SECOND_MS);
        return account;
    }

    private recordCompleted(entry: EntryModel, instance: string): void {
        entry.statistics.countCompleted(instance);
    }

    private deadlineAtMs({ line, arrivedAtMs }: Attempt): number {
        return arrivedAtMs + this.deployment.ranks[line.rank]!.deadlineMs;
    }

    private recordLinkBytes(fromDomain: string, toDomain: string, sizeBytes: number, nowMs: number): void {
        this.link.add(this.deployment.regions[fromDomain]!, this.deployment.regions[toDomain]!, sizeBytes, nowMs);
    }

    /** Share of the approved rate in use on the link from the instance's region to the entry VM's, averaged over the current second. */
    private linkUse(targetDomain: string, vm: string, nowMs: number): number {
        const { regions, vms, approvedBytesPerSecond } = this.deployment;
        const elapsedMs = Math.max(STATUS_INTERVAL_MS, nowMs % SECOND_MS);
        return this.link.currentBytes(regions[targetDomain]!, regions[vms[vm]!]!, nowMs) / (approvedBytesPerSecond * elapsedMs / SECOND_MS);
    }

    private sendStatusReports(nowMs: number): void {
        const primaryPosition = this.replication.position(this.replication.primary, nowMs);
        const reports = [...this.instances].map(([name, model]) => ({
            name,
            report: { position: this.replication.position(name, nowMs), outstanding: model.outstanding },
        }));
        for (const entry of this.entries.values()) {
            const primaryDelayMs = oneWayMs(this.deployment, this.deployment.instances[this.replication.primary]!, entry.failureDomain);
            this.events.schedule(nowMs + primaryDelayMs, () => entry.addPrimarySample({ position: primaryPosition, sampledAtMs: nowMs }));
            for (const { name, report } of reports) {
                const delayMs = oneWayMs(this.deployment, this.deployment.instances[name]!, entry.failureDomain);
                this.events.schedule(nowMs + delayMs, () => entry.reportedInstances.set(name, report));
            }
        }
    }

    private floorShortfall(rank: number): number {
        const { slots, ranks } = this.deployment;
        const models = [...this.instances.values()];
        return Math.max(...models.map(({ offered, used }) => measureFloorShortfall(offered, used, rank, ranks[rank]!.floorShare, slots)));
    }

    private createReport(): ReplayReport {
        const { ranks } = this.deployment;
        const arrivedCount = this.arrivedCounts.reduce((sum, count) => sum + count, 0);
        const shares = reportReplicaShares(this.finished);
        return {
            ranks: ranks.map((rank, index) =>
                reportRank(rank, this.arrivedCounts[index]!, this.finished.filter(each => each.rank === index), this.floorShortfall(index))
            ),
            replicaShare: shares.all,
            provableReplicaShare: shares.provable,
            linkBytes: this.link.totalBytes,
            peakLinkBytesPerSecond: this.link.peakBytesPerSecond,
            staleCount: this.finished.filter(({ isStale }) => isStale).length,
            lostCount: arrivedCount - this.finished.length,
        };
    }
}

/** Replays a trace. The result is deterministic: the same arguments give the same report. */
export const replayTrace = (deployment: ReplayDeployment, trace: readonly TraceLine[], policy: RoutingPolicy, seed: number): ReplayReport =>
    new Replay(deployment, trace, policy, seed).run();
