import { withTimeout } from "@pomeloturn/clock/withTimeout";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { depositHedge, takeHedge } from "@pomeloturn/plan-retry/hedgeBudget";
import { findProvenPosition, isAtOrAfter, laterPosition } from "@pomeloturn/position-samples/PositionSamples";
import { type Candidate, chooseCandidate } from "@pomeloturn/rank-candidates/rankCandidates";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { createErrorReply } from "@pomeloturn/statement-session/answerLocally";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import { attemptPrimaryRead, attemptRead } from "./attemptRead.ts";
import { decideReadRetry, isCertainlyNotRun, RetryDecision } from "./decideRetry.ts";
import { type Operation, sendTimeLeftMs } from "./Operation.ts";
import { ReadAllowance } from "./ReadAllowance.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { renewSamples, sampleLeader } from "./sampleLeader.ts";
import { sleep } from "./timing.ts";

/** Share of a route's maximum age that the sample behind a freshness proof may have. */
const PROOF_AGE_SHARE = 0.95;
/** A hedged second attempt starts when the first has taken this many times the instance's mean latency. */
const HEDGE_FACTOR = 5;
const MINIMUM_HEDGE_MS = 150;
const MAXIMUM_ATTEMPTS = 10;
const RETRY_PAUSE_MS = 20;
const RETRY_AFTER_MS = 250;

/** An attempt and the instance that it was sent to. */
interface Attempt {
    readonly instance: InstanceRuntime | undefined;
    readonly reply: Promise<InstanceReply | undefined>;
}

interface PositionRequirement {
    readonly after: LogPosition | undefined;
    readonly isCommitPosition: boolean;
}

/**
 * Finds the position that an instance must have replayed for the read.
 *
 * @returns undefined when no recent enough sample proves the accepted age
 */
const findPositionRequirement = ({ route, service, session }: Operation, nowMs: number): PositionRequirement | undefined => {
    const commitPosition = session.commitPositions.get(service.name);
    const proof = route.maximumAgeMs === undefined
        ? undefined
        : findProvenPosition(service.samples, route.maximumAgeMs * PROOF_AGE_SHARE, nowMs);
    if (route.maximumAgeMs !== undefined && proof === undefined) {
        return undefined;
    }
    const after = laterPosition(proof, route.freshness === Freshness.ReadYourWrites ? commitPosition : undefined);
    return { after, isCommitPosition: after !== proof };
};

const isBehind = (instance: InstanceRuntime, after: LogPosition | undefined, nowMs: number): boolean =>
    after !== undefined && nowMs < instance.behindUntilMs
    && (instance.position === undefined || !isAtOrAfter(instance.position, after));

/** Lists the service's instances as candidates for a read. */
const listCandidates = ({ service, route }: Operation, after: LogPosition | undefined, ports: RunnerPorts): Candidate[] => {
    const nowMs = ports.nowMs();
    return [...service.instances.values()].map(instance => ({
        id: instance.entry.id,
        latencyMs: instance.latencyMs,
        load: instance.pool.requestCount,
        distance: ports.distanceTo(instance.entry.failureDomain),
        isDraining: instance.entry.isDraining,
        isUnreachable: instance.pool.isUnreachable,
        isPrimary: instance === service.leader,
        isBehind: isBehind(instance, after, nowMs),
        waitMs: Math.max(instance.waitForPaceMs(route.rank, nowMs), instance.pool.estimateWaitMs(route.rank)),
    }));
};

/**
 * Chooses the instance for a read that replicas may serve, and the position that it must have.
 *
 * @returns undefined when no instance can serve it now
 */
export const chooseReadInstance = async (
    operation: Operation,
    excluded: ReadonlySet<string>,
    ports: RunnerPorts,
): Promise<{ readonly instance: InstanceRuntime; readonly requirement: PositionRequirement; } | undefined> => {
    const { route, service, identity } = operation;
    if (route.maximumAgeMs !== undefined) {
        ports.detectSuspensions();
        renewSamples(service, route.maximumAgeMs, identity, ports);
    }
    let requirement = findPositionRequirement(operation, ports.nowMs());
    if (requirement === undefined) {
        await sampleLeader(service, identity, ports);
        requirement = findPositionRequirement(operation, ports.nowMs());
    }
    if (requirement === undefined) {
        return undefined;
    }
    const chosen = chooseCandidate(listCandidates(operation, requirement.after, ports), excluded, route.targetLatencyMs);
    const instance = chosen === undefined ? undefined : service.instances.get(chosen.id);
    return instance === undefined ? undefined : { instance, requirement };
};

/** Runs a read with up to two attempts at a time, on further instances if earlier ones fail or are slow. */
class ReadExecution {
    private readonly pending = new Map<Attempt, Promise<Attempt>>();
    private readonly excluded = new Set<string>();
    private lastResultCode: number = ResultCode.NoInstance;
    private wasSent = false;
    private readonly allowance: ReadAllowance;

    constructor(private readonly operation: Operation, private readonly ports: RunnerPorts) {
        this.allowance = ReadAllowance.create(operation, ports);
    }

    async run(): Promise<InstanceReply | CallerReply> {
        const { operation, ports } = this;
        depositHedge(operation.service.hedgeBudget);
        while (!this.isFinished()) {
            if (this.canStartAttempt) {
                await this.startAttempt();
            }
            if (this.pending.size === 0) {
                continue;
            }
            const isHedged = !this.canStartAttempt;
            const remainingMs = operation.deadlineAtMs - ports.nowMs();
            const finished = await withTimeout(
                Promise.race(this.pending.values()),
                isHedged ? remainingMs : Math.min(remainingMs, this.hedgeDelayMs()),
            );
            const reply = finished === undefined ? undefined : await this.handleFinished(finished);
            if (reply !== undefined) {
                return reply;
            }
        }
        return this.refuse();
    }

    private isFinished(): boolean {
        const nowMs = this.ports.nowMs();
        const { deadlineAtMs, sendDeadlineAtMs, attempts, isDone } = this.operation;
        const canStart = nowMs < sendDeadlineAtMs && attempts < MAXIMUM_ATTEMPTS && !this.allowance.isExhausted;
        return isDone || nowMs >= deadlineAtMs || (this.pending.size === 0 && !canStart);
    }

    private get canStartAttempt(): boolean {
        return this.pending.size < 2 && this.operation.attempts < MAXIMUM_ATTEMPTS && !this.allowance.isExhausted;
    }

    private hedgeDelayMs(): number {
        const instance = [...this.pending.keys()][0]?.instance;
        return Math.max(MINIMUM_HEDGE_MS, HEDGE_FACTOR * (instance?.latencyMs ?? 0));
    }

    /** Starts an attempt. Without an available instance and without a pending attempt, waits briefly for a change of the primary. */
    private async startAttempt(): Promise<void> {
        const { operation, ports } = this;
        const starting = operation.route.freshness === Freshness.Primary ? this.startAtLeader() : this.startAtChosenInstance();
        const attempt = await starting;
        if (attempt !== undefined) {
            this.allowance.spend();
            operation.attempts++;
            operation.instance = attempt.instance?.entry.id ?? "";
            this.pending.set(attempt, attempt.reply.then(() => attempt));
        }
        else if (this.pending.size === 0 && !this.allowance.isExhausted) {
            this.excluded.clear();
            await operation.service.waitForChange(Math.min(RETRY_PAUSE_MS * 2, sendTimeLeftMs(operation, ports.nowMs())));
        }
    }

    /** Whether this would be a second attempt that the budget does not allow at an instance without a free connection. */
    private isHeldBack(instance: InstanceRuntime): boolean {
        const { service, route } = this.operation;
        return this.pending.size > 0 && instance.pool.estimateWaitMs(route.rank) > 0 && !takeHedge(service.hedgeBudget);
    }

    /** Asks for an operation of the allowance if the attempt needs one. Does not wait for it beyond the answer of a pending attempt. */
    private async isAllowed(): Promise<boolean> {
        const remainingMs = this.operation.deadlineAtMs - this.ports.nowMs();
        return await withTimeout(Promise.race([this.allowance.request(), ...this.pending.values()]), remainingMs) === true;
    }

    /** Starts at once unless the attempt needs an operation of the allowance, so that the read keeps its place among others. */
    private startAtLeader(): Promise<Attempt | undefined> | Attempt | undefined {
        const { operation, ports } = this;
        const instance = operation.service.leader;
        if (instance === undefined || instance.pool.isUnreachable || this.isHeldBack(instance)) {
            return undefined;
        }
        const start = (): Attempt => ({ instance, reply: attemptPrimaryRead(operation, this.connectionWaitMs(), ports) });
        return this.allowance.isGranted ? start() : this.isAllowed().then(isAllowed => isAllowed ? start() : undefined);
    }

    private async startAtChosenInstance(): Promise<Attempt | undefined> {
        const { operation, ports } = this;
        const found = await chooseReadInstance(operation, this.excluded, ports);
        if (found === undefined) {
            return undefined;
        }
        const { instance, requirement } = found;
        if (this.isHeldBack(instance) || !(this.allowance.isGranted || await this.isAllowed())) {
            return undefined;
        }
        this.excluded.add(instance.entry.id);
        return {
            instance,
            reply: attemptRead(operation, instance, requirement.after, requirement.isCommitPosition, this.connectionWaitMs(), ports),
        };
    }

    /** Time to wait for a connection: while another attempt is pending, all the time that the statement has left. */
    private connectionWaitMs(): number {
        const { sendDeadlineAtMs, deadlineAtMs } = this.operation;
        return Math.max(1, (this.pending.size > 0 ? deadlineAtMs : sendDeadlineAtMs) - this.ports.nowMs());
    }

    /** Handles a finished attempt. @returns the reply if it goes to the caller */
    private async handleFinished(attempt: Attempt): Promise<InstanceReply | undefined> {
        this.pending.delete(attempt);
        const reply = await attempt.reply;
        if (reply === undefined) {
            // Nothing was sent, so the attempt does not count.
            this.operation.attempts--;
            this.allowance.giveBack();
            await sleep(RETRY_PAUSE_MS);
            return undefined;
        }
        if (decideReadRetry(reply) === RetryDecision.Return) {
            return reply;
        }
        if (isCertainlyNotRun(reply)) {
            this.allowance.giveBack();
        }
        this.wasSent ||= reply.code === ResultCode.BackendLost;
        this.lastResultCode = reply.code;
        return undefined;
    }

    private refuse(): CallerReply {
        const { session, service, identity } = this.operation;
        const reason = this.allowance.isExhausted ? `; not repeated, as the allowance of team ${identity} is used up` : "";
        if (this.pending.size > 0 || this.wasSent) {
            return createErrorReply(
                ResultCode.DeadlineWhileRunning,
                `no instance of service ${service.name} answered in time; attempts: ${this.operation.attempts}${reason}`,
                session.status,
            );
        }
        const code = this.lastResultCode === ResultCode.StatementFailed ? ResultCode.StatementFailed : ResultCode.NoInstance;
        return createErrorReply(
            code,
            `no instance of service ${service.name} served the read; last result ${this.lastResultCode}${reason}`,
            session.status,
            this.operation.retryAfterMs ?? RETRY_AFTER_MS,
        );
    }
}

/** Runs a read outside a transaction. */
export const runRead = (operation: Operation, ports: RunnerPorts): Promise<InstanceReply | CallerReply> =>
    new ReadExecution(operation, ports).run();
