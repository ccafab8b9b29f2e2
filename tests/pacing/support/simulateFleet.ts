import type { PacingRuleFactory } from "./pacingRules.ts";
import { type InstanceLimits, InstanceMode, SimulatedInstance } from "./SimulatedInstance.ts";
import { type SimulatedOperation, SimulatedVm } from "./SimulatedVm.ts";
import { createRandom, VirtualTime } from "./VirtualTime.ts";

export interface Fleet {
    readonly vmCount: number;
    /** Operations that callers begin per second at all VMs together. */
    readonly operationsPerS: number;
}

/** What happens to the instance. */
export interface Scenario {
    readonly name: string;
    /** Whether the instance does not exist before `readyAtMs`, so that no VM knows its entry. */
    readonly isNew: boolean;
    /** Mode of the instance before `readyAtMs`, from `faultAtMs` on. */
    readonly faultMode: InstanceMode;
    readonly faultAtMs: number;
    readonly readyAtMs: (random: () => number) => number;
    /** Whether the VMs are told of a new start of the instance, by its entry. */
    readonly isRestart: boolean;
    /** Share of the operations that come to this instance before `readyAtMs`. */
    readonly earlierShare: number;
    /** Time before `readyAtMs` in which operations wait at their VMs until these learn of the instance. */
    readonly gatheredMs: number;
    /** Time for which the instance is slow from `readyAtMs` on. */
    readonly coldMs: number;
}

export interface FleetResult {
    readonly busyCount: number;
    readonly exhaustedCount: number;
    readonly openingCount: number;
    readonly operationCount: number;
    /** Operations that were answered after their target or not at all. */
    readonly lateCount: number;
    readonly unansweredCount: number;
    /** Late operations of the most urgent rank. */
    readonly urgentLateCount: number;
    /** Time from readiness until the statements answered within 500 ms are 80% of those that arrive in it. */
    readonly recoveryMs: number;
    readonly heldBeyondLimitMs: number;
}

const LIMITS: InstanceLimits = { slotCount: 4, queueLength: 32, connectionLimit: 70, openingWorkMs: 12, roundTripMs: 2 };
const COLD_FACTOR = 1.6;
const LENGTH_MS = 20_000;
/** Operations arrive until this time, so that the last ones can end. */
const ARRIVALS_END_MS = 14_000;
/** Time after which the VMs have read the entry of a started instance from the store: up to this. */
const ENTRY_DELAY_MS = 100;
const CALLER_RETRIES = 2;
const DEFAULT_RETRY_AFTER_MS = 250;
const RECOVERY_WINDOW_MS = 500;
const RECOVERY_SHARE = 0.8;
const RECOVERY_STEP_MS = 10;
/** Kinds of operations: share of the rate, work, target and caller's limit. */
const KINDS = [
    { rank: 0, share: 0.13, limitMs: 6_016, targetMs: 401 },
    { rank: 1, share: 0.23, limitMs: 10_018, targetMs: 601 },
    { rank: 2, share: 0.64, limitMs: 6_004, targetMs: 1_501 },
] as const;
const SHORTEST_WORK_MS = 3;
const LONGEST_WORK_MS = 20;

const measureRecoveryMs = (answeredAtMs: readonly number[], readyAtMs: number, operationsPerS: number): number => {
    const neededCount = RECOVERY_SHARE * operationsPerS * RECOVERY_WINDOW_MS / 1_000;
    for (let atMs = readyAtMs; atMs < ARRIVALS_END_MS; atMs += RECOVERY_STEP_MS) {
        const count = answeredAtMs.filter(each => each > Math.max(readyAtMs, atMs - RECOVERY_WINDOW_MS) && each <= atMs).length;
        if (count >= neededCount) {
            return atMs - readyAtMs;
        }
    }
    return ARRIVALS_END_MS - readyAtMs;
};

/** A fleet of VMs that send to one instance, in virtual time. */
class FleetSimulation {
    readonly time = VirtualTime.create();
    readonly instance = new SimulatedInstance(this.time, LIMITS);
    readonly operations: SimulatedOperation[] = [];
    readonly vms: readonly SimulatedVm[];
    private readonly rules: readonly ReturnType<PacingRuleFactory>[];
    private readonly arrivalRandom: () => number;
    private readonly random: () => number;
    private readonly readyAtMs: number;
    /** Operations that wait at each VM until it learns of the instance. */
    private readonly gathered: SimulatedOperation[][];

    constructor(private readonly fleet: Fleet, private readonly scenario: Scenario, createRule: PacingRuleFactory, seed: number) {
        this.arrivalRandom = createRandom(seed);
        this.random = createRandom(seed + 1_000_003);
        this.readyAtMs = scenario.readyAtMs(createRandom(seed + 2_000_003));
        this.gathered = Array.from({ length: fleet.vmCount }, () => []);
        this.rules = Array.from({ length: fleet.vmCount }, () => createRule(this.time, this.random));
        const ports = {
            time: this.time,
            random: this.random,
            instance: this.instance,
            onRefused: (operation: SimulatedOperation, retryAfterMs: number | undefined) => this.retry(operation, retryAfterMs),
        };
        this.vms = this.rules.map(rule => new SimulatedVm(ports, rule, LIMITS.connectionLimit, fleet.vmCount));
    }

    run(): FleetResult {
        const { time, instance, scenario, readyAtMs, operations } = this;
        if (scenario.isNew) {
            instance.mode = scenario.faultMode;
        }
        time.after(scenario.faultAtMs, () => this.beginFault());
        time.after(readyAtMs, () => this.recover());
        this.scheduleArrival();
        time.runUntil(LENGTH_MS);
        const isLate = ({ arrivedAtMs, answeredAtMs, targetMs }: SimulatedOperation): boolean =>
            answeredAtMs === undefined || answeredAtMs - arrivedAtMs > targetMs;
        return {
            busyCount: instance.busyCount,
            exhaustedCount: instance.exhaustedCount,
            openingCount: instance.openingCount,
            operationCount: operations.length,
            lateCount: operations.filter(isLate).length,
            urgentLateCount: operations.filter(operation => operation.rank === 0 && isLate(operation)).length,
            unansweredCount: operations.filter(({ answeredAtMs }) => answeredAtMs === undefined).length,
            recoveryMs: measureRecoveryMs(instance.answeredAtMs, readyAtMs, this.fleet.operationsPerS),
            heldBeyondLimitMs: Math.max(...this.vms.map(vm => vm.heldBeyondLimitMs)),
        };
    }

    private beginFault(): void {
        const { instance, scenario: { faultMode } } = this;
        if (faultMode === InstanceMode.Down) {
            instance.stop();
        }
        instance.mode = faultMode;
    }

    private recover(): void {
        const { instance, scenario, time, rules } = this;
        instance.mode = InstanceMode.Serving;
        instance.slowFactor = scenario.coldMs > 0 ? COLD_FACTOR : 1;
        time.after(scenario.coldMs, () => {
            instance.slowFactor = 1;
        });
        rules.forEach((_rule, vmIndex) => time.after(ENTRY_DELAY_MS * this.random(), () => this.learnOfInstance(vmIndex)));
    }

    private learnOfInstance(vmIndex: number): void {
        if (this.scenario.isRestart) {
            this.rules[vmIndex]!.recordStart(LIMITS.slotCount, this.fleet.vmCount);
        }
        this.gathered[vmIndex]!.splice(0).forEach(operation => this.vms[vmIndex]!.arrive(operation));
    }

    private scheduleArrival(): void {
        const { time, fleet, scenario, arrivalRandom, readyAtMs } = this;
        time.after(-Math.log(1 - arrivalRandom()) * 1_000 / fleet.operationsPerS, () => {
            if (time.nowMs > ARRIVALS_END_MS) {
                return;
            }
            const operation = this.createOperation();
            const vmIndex = Math.floor(arrivalRandom() * fleet.vmCount);
            const isComing = arrivalRandom() < scenario.earlierShare || time.nowMs >= readyAtMs;
            if (time.nowMs < readyAtMs && time.nowMs >= readyAtMs - scenario.gatheredMs) {
                this.operations.push(operation);
                this.gathered[vmIndex]!.push(operation);
            }
            else if (isComing) {
                this.operations.push(operation);
                this.vms[vmIndex]!.arrive(operation);
            }
            this.scheduleArrival();
        });
    }

    private createOperation(): SimulatedOperation {
        const { arrivalRandom, time: { nowMs } } = this;
        let draw = arrivalRandom();
        const { rank, limitMs, targetMs } = KINDS.find(({ share }) => (draw -= share) < 0) ?? KINDS[2];
        const workMs = SHORTEST_WORK_MS + (LONGEST_WORK_MS - SHORTEST_WORK_MS) * arrivalRandom();
        return { rank, workMs, limitMs, targetMs, arrivedAtMs: nowMs, retriesLeft: CALLER_RETRIES, answeredAtMs: undefined };
    }

    /** Lets the caller of a refused operation return, to another VM. */
    private retry(operation: SimulatedOperation, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
        if (operation.retriesLeft-- > 0) {
            const vm = this.vms[Math.floor(this.random() * this.vms.length)]!;
            this.time.after(retryAfterMs, () => vm.arrive(operation));
        }
    }
}

/** Simulates a fleet whose VMs each see the answers to their own attempts only. The same seed brings the same operations to each rule. */
export const simulateFleet = (fleet: Fleet, scenario: Scenario, createRule: PacingRuleFactory, seed: number): FleetResult =>
    new FleetSimulation(fleet, scenario, createRule, seed).run();
