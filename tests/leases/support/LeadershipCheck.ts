import type { GroupRow } from "@pomeloturn/group-lease/GroupRow";
import type { GroupLeadership } from "@pomeloturn/types/Leadership";
import type { FakeInstance, LogEntry } from "./FakeInstance.ts";

/** A write that a caller believes in. */
interface AcknowledgedWrite {
    readonly term: number;
    readonly position: number;
    readonly entry: LogEntry;
}

/** Looks for two leaders, for acknowledged writes that are gone without a word, and for false news of a loss. */
export class LeadershipCheck {
    readonly violations: string[] = [];
    readonly acknowledgements: { readonly atMs: number; readonly vm: string; }[] = [];
    /** Acknowledged writes that a later term's history tells as lost. */
    readonly lost = new Set<LogEntry>();
    private readonly writes: AcknowledgedWrite[] = [];
    private lastLeadership = "";

    constructor(private readonly instances: ReadonlyMap<string, FakeInstance>) {}

    /** @param leaders VMs whose lease runs, with what they believe */
    check(leaders: readonly (readonly [vm: string, GroupLeadership])[], nowMs: number): void {
        if (leaders.length > 1) {
            this.report(nowMs, `two leaders: ${leaders.map(([vm, { rowVersion }]) => `${vm} under ${rowVersion}`).join(", ")}`);
        }
        const [first] = leaders;
        const name = first === undefined ? "" : `${first[0]}/${first[1].rowVersion}`;
        if (first !== undefined && this.instances.get(first[1].primary)!.isReplica) {
            this.report(nowMs, `${first[0]} leads at ${first[1].primary}, which is in recovery`);
        }
        if (first !== undefined && name !== this.lastLeadership) {
            this.writes.forEach(write => this.checkWrite(first[1], write, nowMs));
        }
        this.lastLeadership = name;
    }

    /** No lease may run under the row that a change replaces, unless the same VM goes on at the same primary. */
    checkChange(leaders: readonly (readonly [vm: string, GroupLeadership])[], fromVersion: number, next: GroupRow, nowMs: number): void {
        for (const [vm, { rowVersion, primary }] of leaders) {
            if (rowVersion <= fromVersion && (vm !== next.holder.vm || primary !== next.primary)) {
                this.report(nowMs, `the row ${fromVersion} is replaced while ${vm} leads under ${rowVersion}`);
            }
        }
    }

    acknowledge(vm: string, leadership: GroupLeadership, position: number, entry: LogEntry, nowMs: number): void {
        this.acknowledgements.push({ atMs: nowMs, vm });
        const write = { term: leadership.term, position, entry };
        this.writes.push(write);
        this.checkWrite(leadership, write, nowMs);
    }

    /**
     * The longest time without an acknowledgement, in milliseconds.
     *
     * @param cutOffVm VM whose acknowledgements reach nobody outside
     */
    longestGapMs(fromMs: number, untilMs: number, cutOffVm?: string): number {
        const heard = this.acknowledgements.filter(({ atMs, vm }) => atMs > fromMs && atMs < untilMs && vm !== cutOffVm);
        const times = [fromMs, ...heard.map(({ atMs }) => atMs), untilMs];
        return Math.max(...times.slice(1).map((time, index) => time - times[index]!));
    }

    private checkWrite({ term, primary, history }: GroupLeadership, write: AcknowledgedWrite, nowMs: number): void {
        const nextStart = history.find(start => start.term > write.term);
        const isTold = nextStart !== undefined && write.position > nextStart.position;
        const isPresent = this.instances.get(primary)!.log[write.position - 1] === write.entry;
        if (write.term > term) {
            this.report(nowMs, `term ${term} leads after term ${write.term} has acknowledged`);
        }
        else if (!isPresent && !isTold) {
            this.report(nowMs, `write ${write.entry.id} of term ${write.term} is missing at ${primary} in term ${term}`);
        }
        else if (isPresent && isTold) {
            this.report(nowMs, `write ${write.entry.id} of term ${write.term} is told as lost, but ${primary} has it`);
        }
        if (isTold) {
            this.lost.add(write.entry);
        }
    }

    private report(nowMs: number, text: string): void {
        this.violations.push(`${nowMs.toFixed(0)} ms: ${text}`);
    }
}
