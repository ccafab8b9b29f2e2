import { recordAnswered, recordRemoval } from "@pomeloturn/replace-primary/knownLeader";
import type { SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { CommitHolders } from "@pomeloturn/replacement-runner/CommitHolders";
import { ListingCheck } from "@pomeloturn/replacement-runner/ListingCheck";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";

/** What a simulated VM knows of the instances that the store lists. */
export class ListingView {
    /** The primary that this VM knows. */
    leaderId: string | undefined;
    private readonly service = ServiceRuntime.create("group");
    private readonly check = ListingCheck.create();
    private readonly holders = CommitHolders.create();

    private constructor(private readonly isSynchronous: boolean) {}

    /** @param isSynchronous whether commits are acknowledged once replicas have received them */
    static create(isSynchronous: boolean): ListingView {
        return new ListingView(isSynchronous);
    }

    /** Reads the listing, as the feed of the VM does. @param listed ids of the listed instances; undefined while the store cannot be read */
    follow(listed: readonly string[] | undefined, primaryId: string | undefined, nowMs: number): void {
        const { instances, knownLeader } = this.service;
        if (listed !== undefined) {
            const added = listed.filter(id => !instances.has(id));
            const removed = [...instances.keys()].filter(id => !listed.includes(id));
            added.forEach(id => instances.set(id, {} as InstanceRuntime));
            removed.forEach(id => {
                instances.delete(id);
                recordRemoval(knownLeader, id);
            });
            if (primaryId !== undefined && added.includes(primaryId)) {
                this.leaderId = primaryId;
            }
            if (this.leaderId !== undefined && removed.includes(this.leaderId)) {
                this.leaderId = undefined;
            }
        }
        const { verifiedFromMs } = this.check;
        this.holders.update(this.service, this.isSynchronous ? verifiedFromMs ?? -Infinity : Infinity, nowMs);
        const isNeeded = verifiedFromMs === undefined || this.holders.listAbsent(this.service).length > 0;
        if (this.check.takeDueRead(this.isSynchronous && isNeeded, nowMs)) {
            this.readListing(listed, nowMs);
        }
    }

    get ids(): readonly string[] {
        return [...this.service.instances.keys()];
    }

    get isComplete(): boolean {
        return this.check.verifiedFromMs !== undefined;
    }

    /** Returns what a survey of the listed instances shows. */
    count(surveyed: readonly SurveyedInstance[], nowMs: number): SurveyedInstance[] {
        surveyed.filter(({ state }) => state !== undefined).forEach(({ id }) => recordAnswered(this.service.knownLeader, id));
        return [
            ...surveyed.filter(({ id, state }) => state !== undefined || this.holders.mayHoldCommits(id, this.service, nowMs)),
            ...this.holders.listAbsent(this.service).map(id => ({ id, isDraining: true, state: undefined, isPaused: false })),
        ];
    }

    private readListing(listed: readonly string[] | undefined, nowMs: number): void {
        if (listed === undefined) {
            this.check.recordFailure(nowMs);
            return;
        }
        const isKnown = listed.every(id => this.service.instances.has(id));
        this.check.recordRead({ sentAtMs: nowMs, answeredAtMs: nowMs, era: 1, suspensions: 0, isKnown });
    }
}
