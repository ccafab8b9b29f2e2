/** An instance of the simulated group. */
export interface SimulatedInstance {
    readonly id: string;
    condition: "up" | "refusing" | "unresponsive";
    isDraining: boolean;
    receivedCommitCount: number;
    /** Whether commits that are sent to it are held up. */
    isCutFromPrimary: boolean;
    /** Term for which it has stopped receiving; 0 while it receives. */
    heldTerm: number;
    /** Highest term for which it was ordered to step down. */
    stepDownTerm: number;
    /** Whether its entry stands in the store. */
    isListed: boolean;
    /** Names of the VMs that cannot reach it. */
    readonly unreachableVms: Set<string>;
}

const REPLICA_LAG_COMMITS = 3;

/** The logs of the simulated group: what each instance has received, and what was acknowledged. */
export class SimulatedLog {
    /** Commits that were acknowledged where replicas have to receive them first, and that a promotion has lost. */
    lostAcknowledgedCount = 0;
    private acknowledgedCount = 0;

    constructor(
        private readonly instances: readonly SimulatedInstance[],
        private readonly syncReplicas: number,
        private readonly random: () => number,
    ) {}

    /** Adds a commit; the replicas stay `REPLICA_LAG_COMMITS` behind, or receive it at once or with the next one. */
    commit(leader: SimulatedInstance, term: number): void {
        leader.receivedCommitCount += 1;
        if (this.syncReplicas === 0) {
            this.receivers(leader, term).forEach(each => each.receivedCommitCount = leader.receivedCommitCount - REPLICA_LAG_COMMITS);
            return;
        }
        for (const replica of this.receivers(leader, term)) {
            replica.receivedCommitCount = this.random() < 0.5 ? leader.receivedCommitCount : leader.receivedCommitCount - 1;
        }
        const received = this.instances.filter(each => each !== leader).map(({ receivedCommitCount }) => receivedCommitCount);
        const enough = received.sort((one, other) => other - one)[this.syncReplicas - 1] ?? 0;
        this.acknowledgedCount = Math.max(this.acknowledgedCount, enough);
    }

    /** Delivers the commits that are in flight. */
    deliver(leader: SimulatedInstance, term: number): void {
        this.receivers(leader, term).forEach(each => each.receivedCommitCount = leader.receivedCommitCount);
    }

    /** Rolls the others back to what the promoted instance has received; they receive again. */
    truncateTo(promoted: SimulatedInstance): void {
        this.lostAcknowledgedCount += Math.max(0, this.acknowledgedCount - promoted.receivedCommitCount);
        this.acknowledgedCount = Math.min(this.acknowledgedCount, promoted.receivedCommitCount);
        for (const each of this.instances) {
            each.receivedCommitCount = Math.min(each.receivedCommitCount, promoted.receivedCommitCount);
            each.heldTerm = 0;
        }
    }

    /** Replicas that receive commits from the primary now. */
    private receivers(leader: SimulatedInstance, term: number): SimulatedInstance[] {
        return this.instances.filter(each => each !== leader && each.condition === "up" && !each.isCutFromPrimary && each.heldTerm <= term);
    }
}
