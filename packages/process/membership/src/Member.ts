/** Constants for `Member.condition`; a higher one wins over a lower one of the same sequence. */
export const Condition = {
    Alive: 0,
    Suspected: 1,
    Gone: 2,
} as const;
export type Condition = typeof Condition[keyof typeof Condition];

/** What the controllers tell each other about one entry VM. */
export interface Member {
    readonly vm: string;
    /** Start of the controller; a VM that returns has a higher one. */
    readonly incarnation: number;
    /** Raised by the VM itself with each change of its state and to refute a suspicion. */
    readonly sequence: number;
    readonly condition: Condition;
    readonly isLeaving: boolean;
    readonly host: string;
    readonly peerPort: number;
    readonly controllerPort: number;
    readonly failureDomain: string;
}

/** Whether `update` is later than what is known of the same VM. */
export const supersedes = (update: Member, known: Member | undefined): boolean => {
    if (known === undefined || update.incarnation !== known.incarnation) {
        return known === undefined || update.incarnation > known.incarnation;
    }
    if (update.sequence !== known.sequence) {
        return update.sequence > known.sequence;
    }
    return update.condition > known.condition;
};
