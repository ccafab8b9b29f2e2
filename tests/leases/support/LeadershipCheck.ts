import type { GroupRow } from "@pomeloturn/group-lease/GroupRow";
import type { GroupLeadership } from "@pomeloturn/types/Leadership";
import type { FakeInstance, LogEntry } from "./FakeInstance.ts";

/** A write whose success was reported to a caller. */
interface AcknowledgedWrite {
    readonly term: number;
    readonly position: number;
    readonly entry: LogEntry;
}

/** Detects two leaders at once, acknowledged writes that are lost without a report, and writes that are reported as lost but exist. */
export class LeadershipCheck {
    readonly violations: string[] = [];
    readonly acknowledgements: { readonly atMs: number; readonly vm: string; }[] = [];
    /** Acknowledged writes that the history of a later term reports as lost. */
    readonly lostWrites = new Set<LogEntry>();
    private readonly writes: AcknowledgedWrite[] = [];
    private lastLeadershipKey = "";

    constructor(private readonly instances: ReadonlyMap<string, FakeInstance>) {}

    /**
     * Checks the leaders, and all acknowledged writes whenever the leadership changes.
     *
     * @param leaders VMs whose lease has not expired, with the leadership that their proxies know
     */
    checkLeaders(leaders: readonly (readonly [vm: string, GroupLeadership])[], nowMs: number): void {
        if (leaders.length > 1) {
            this.reportViolation(nowMs, `two leaders: ${leaders.map(([vm, { rowVersion }]) => `${vm} under ${rowVersion}`).join(", ")}`);
        }
        const [leader] = leaders;
        const leadershipKey = leader === undefined ? "" : `${leader[0]}/${leader[1].rowVersion}`;
        if (leader !== undefined && this.instances.get(leader[1].primary)!.isReplica) {
            this.reportViolation(nowMs, `${leader[0]} leads at ${leader[1].primary}, which is in recovery`);
        }
        if (leader !== undefined && leadershipKey !== this.lastLeadershipKey) {
            this.writes.forEach(write => this.checkWrite(leader[1], write, nowMs));
        }
        this.lastLeadershipKey = leadershipKey;
    }

    /** Checks that no lease is valid under the row that a change replaces, unless the same VM continues to lead the same primary. */
    checkRowChange(leaders: readonly (readonly [vm: string, GroupLeadership])[], fromVersion: number, next: GroupRow, nowMs: number): void {
        for (const [vm, { rowVersion, primary }] of leaders) {
            if (rowVersion <= fromVersion && (vm !== next.holder.vm || primary !== next.primary)) {
                this.reportViolation(nowMs, `the row ${fromVersion} is replaced while ${vm} leads under ${rowVersion}`);
            }
        }
    }

    recordAcknowledgement(vm: string, leadership: GroupLeadership, position: number, entry: LogEntry, nowMs: number): void {
        this.acknowledgements.push({ atMs: nowMs, vm });
        const write = { term: leadership.term, position, entry };
        this.writes.push(write);
        this.checkWrite(leadership, write, nowMs);
    }

    /**
     * Returns the longest time without an acknowledgement, in milliseconds.
     *
     * @param isolatedVm VM whose acknowledgements do not count, because callers outside its partition do not receive them
     */
    longestGapMs(fromMs: number, untilMs: number, isolatedVm?: string): number {
        const reachable = this.acknowledgements.filter(({ atMs, vm }) => atMs > fromMs && atMs < untilMs && vm !== isolatedVm);
        const timesMs = [fromMs, ...reachable.map(({ atMs }) => atMs), untilMs];
        return Math.max(...timesMs.slice(1).map((timeMs, index) => timeMs - timesMs[index]!));
    }

    private checkWrite({ term, primary, history }: GroupLeadership, write: AcknowledgedWrite, nowMs: number): void {
        const nextTermStart = history.find(start => start.term > write.term);
        const isReportedLost = nextTermStart !== undefined && write.position > nextTermStart.position;
        const isPresent = this.instances.get(primary)!.log[write.position - 1] === write.entry;
        if (write.term > term) {
            this.reportViolation(nowMs, `term ${term} leads after term ${write.term} has acknowledged`);
        }
        else if (!isPresent && !isReportedLost) {
            this.reportViolation(nowMs, `write ${write.entry.id} of term ${write.term} is missing at ${primary} in term ${term}`);
        }
        else if (isPresent && isReportedLost) {
            this.reportViolation(nowMs, `write ${write.entry.id} of term ${write.term} is told as lost, but ${primary} has it`);
        }
        if (isReportedLost) {
            this.lostWrites.add(write.entry);
        }
    }

    private reportViolation(nowMs: number, text: string): void {
        this.violations.push(`${nowMs.toFixed(0)} ms: ${text}`);
    }
}
