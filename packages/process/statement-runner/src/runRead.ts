import { within } from "@pomeloturn/clock/within";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { waitBeforeAttemptMs } from "@pomeloturn/pace-attempts/AttemptPace";
import { findProvenPosition, isAtOrAfter, laterPosition } from "@pomeloturn/position-samples/PositionSamples";
import { type Candidate, chooseCandidate } from "@pomeloturn/rank-candidates/rankCandidates";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { refused } from "@pomeloturn/statement-session/answerLocally";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import { attemptPrimaryRead, attemptRead } from "./attemptRead.ts";
import { judgeRead, Verdict } from "./judgeReply.ts";
import { holdLeftMs, type Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { renewSamples, sampleLeader } from "./sampleLeader.ts";
import { sleep } from "./timing.ts";

/** Share of a route's largest age that a proof may have. */
const AGE_SHARE = 0.95;
/** A second attempt starts when the first takes this many times the instance's mean time. */
const HEDGE_FACTOR = 5;
const MINIMUM_HEDGE_MS = 150;
const MAXIMUM_ATTEMPTS = 10;
const PAUSE_MS = 20;
const RETRY_AFTER_MS = 250;

/** An attempt and the instance that it went to. */
interface Attempt {
    readonly instance: InstanceRuntime | undefined;
    readonly reply: Promise<InstanceReply | undefined>;
}

interface Requirement {
    readonly after: LogPosition | undefined;
    readonly isOwnPosition: boolean;
}

/** Position that the read must see. @returns undefined when its age cannot be proved now */
const findRequirement = ({ route, service, session }: Operation, nowMs: number): Requirement | undefined => {
    const own = session.ownPositions.get(service.name);
    const proof = route.maximumAgeMs === undefined ? undefined : findProvenPosition(service.samples, route.maximumAgeMs * AGE_SHARE, nowMs);
    if (route.maximumAgeMs !== undefined && proof === undefined) {
        return undefined;
    }
    const after = laterPosition(proof, route.freshness === Freshness.ReadYourWrites ? own : undefined);
    return { after, isOwnPosition: after !== proof };
};

const isBehind = (instance: InstanceRuntime, after: LogPosition | undefined, nowMs: number): boolean =>
    after !== undefined && nowMs < instance.behindUntilMs
    && (instance.position === undefined || !isAtOrAfter(instance.position, after));

/** Describes the service's instances for a read. */
const describeCandidates = ({ service, route }: Operation, after: LogPosition | undefined, ports: RunnerPorts): Candidate[] => {
    const nowMs = ports.nowMs();
    return [...service.instances.values()].map(instance => ({
        id: instance.entry.id,
        latencyMs: instance.latencyMs,
        load: instance.pool.load,
        distance: ports.distanceTo(instance.entry.failureDomain),
        isDraining: instance.entry.isDraining,
        isUnreachable: instance.pool.isUnreachable,
        isPrimary: instance === service.leader,
        isBehind: isBehind(instance, after, nowMs),
        waitMs: waitBeforeAttemptMs(instance.pace, route.rank, nowMs),
    }));
};

/** Chooses the instance and the position for a read that replicas may serve. @returns undefined when none can serve it now */
export const chooseForRead = async (
    operation: Operation,
    excluded: ReadonlySet<string>,
    ports: RunnerPorts,
): Promise<{ readonly instance: InstanceRuntime; readonly requirement: Requirement; } | undefined> => {
    const { route, service } = operation;
    if (route.maximumAgeMs !== undefined) {
        ports.checkSuspended();
        renewSamples(service, route.maximumAgeMs, ports);
    }
    let requirement = findRequirement(operation, ports.nowMs());
    if (requirement === undefined) {
        await sampleLeader(service, ports);
        requirement = findRequirement(operation, ports.nowMs());
    }
    if (requirement === undefined) {
        return undefined;
    }
    const chosen = chooseCandidate(describeCandidates(operation, requirement.after, ports), excluded, route.targetLatencyMs);
    const instance = chosen === undefined ? undefined : service.instances.get(chosen.id);
    return instance === undefined ? undefined : { instance, requirement };
};

/** Runs a read, on several instances one after the other if need be. */
class ReadRun {
    private readonly pending = new Map<Attempt, Promise<Attempt>>();
    private readonly excluded = new Set<string>();
    private lastCode: number = ResultCode.NoInstance;
    private wasSent = false;

    constructor(private readonly operation: Operation, private readonly ports: RunnerPorts) {}

    async run(): Promise<InstanceReply | CallerReply> {
        const { operation, ports } = this;
        while (!this.isOver()) {
            if (this.pending.size < 2 && operation.attempts < MAXIMUM_ATTEMPTS) {
                await this.launch();
            }
            if (this.pending.size === 0) {
                continue;
            }
            const isHedged = this.pending.size > 1 || operation.attempts >= MAXIMUM_ATTEMPTS;
            const leftMs = operation.deadlineAtMs - ports.nowMs();
            const settled = await within(Promise.race(this.pending.values()), isHedged ? leftMs : Math.min(leftMs, this.hedgeMs()));
            const reply = settled === undefined ? undefined : await this.settle(settled);
            if (reply !== undefined) {
                return reply;
            }
        }
        return this.giveUp();
    }

    private isOver(): boolean {
        const nowMs = this.ports.nowMs();
        const { deadlineAtMs, holdUntilMs, attempts, isDone } = this.operation;
        return isDone || nowMs >= deadlineAtMs || (this.pending.size === 0 && (nowMs >= holdUntilMs || attempts >= MAXIMUM_ATTEMPTS));
    }

    private hedgeMs(): number {
        const instance = [...this.pending.keys()][0]?.instance;
        return Math.max(MINIMUM_HEDGE_MS, HEDGE_FACTOR * (instance?.latencyMs ?? 0));
    }

    /** Starts an attempt; without an instance to go to, waits a little. */
    private async launch(): Promise<void> {
        const { operation, ports } = this;
        const attempt = operation.route.freshness === Freshness.Primary ? this.startAtLeader() : await this.startAtAny();
        if (attempt !== undefined) {
            operation.attempts++;
            operation.instance = attempt.instance?.entry.id ?? "";
            this.pending.set(attempt, attempt.reply.then(() => attempt));
        }
        else if (this.pending.size === 0) {
            this.excluded.clear();
            await operation.service.waitForChange(Math.min(PAUSE_MS * 2, holdLeftMs(operation, ports.nowMs())));
        }
    }

    private startAtLeader(): Attempt | undefined {
        const { operation, ports } = this;
        const instance = operation.service.leader;
        if (instance === undefined || instance.pool.isUnreachable) {
            return undefined;
        }
        return { instance, reply: attemptPrimaryRead(operation, this.waitMs(), ports) };
    }

    private async startAtAny(): Promise<Attempt | undefined> {
        const { operation, ports } = this;
        const found = await chooseForRead(operation, this.excluded, ports);
        if (found === undefined) {
            return undefined;
        }
        const { instance, requirement } = found;
        this.excluded.add(instance.entry.id);
        return { instance, reply: attemptRead(operation, instance, requirement.after, requirement.isOwnPosition, this.waitMs(), ports) };
    }

    /** Time to wait for a connection; behind an attempt that was sent, all that the statement has left. */
    private waitMs(): number {
        const { holdUntilMs, deadlineAtMs } = this.operation;
        return Math.max(1, (this.pending.size > 0 ? deadlineAtMs : holdUntilMs) - this.ports.nowMs());
    }

    /** Takes a finished attempt. @returns the reply for the caller, if it is one */
    private async settle(attempt: Attempt): Promise<InstanceReply | undefined> {
        this.pending.delete(attempt);
        const reply = await attempt.reply;
        if (reply === undefined) {
            // Nothing was sent: the attempt does not count.
            this.operation.attempts--;
            await sleep(PAUSE_MS);
            return undefined;
        }
        if (judgeRead(reply) === Verdict.Answer) {
            return reply;
        }
        this.wasSent ||= reply.code === ResultCode.BackendLost;
        this.lastCode = reply.code;
        return undefined;
    }

    private giveUp(): CallerReply {
        const { session } = this.operation;
        if (this.pending.size > 0 || this.wasSent) {
            return refused(ResultCode.DeadlineWhileRunning, "no instance answered in time", session.status);
        }
        const code = this.lastCode === ResultCode.StatementFailed ? ResultCode.StatementFailed : ResultCode.NoInstance;
        return refused(code, `last result ${this.lastCode}`, session.status, RETRY_AFTER_MS);
    }
}

/** Runs a read outside a transaction. */
export const runRead = (operation: Operation, ports: RunnerPorts): Promise<InstanceReply | CallerReply> =>
    new ReadRun(operation, ports).run();
