/** Constants for `Member.condition`. With the same sequence, the higher condition takes precedence. */
export const Condition = {
    Alive: 0,
    Suspected: 1,
    Gone: 2,
} as const;
export type Condition = typeof Condition[keyof typeof Condition];

/** State of one entry VM, as the controllers exchange it. */
export interface Member {
    readonly vm: string;
    /** Identifies one start of the VM's controller. A VM that returns has a higher one. */
    readonly incarnation: number;
    /** Increased by the VM itself at each change of its state and to refute a suspicion. */
    readonly sequence: number;
    readonly condition: Condition;
    readonly isLeaving: boolean;
    readonly host: string;
    readonly peerPort: number;
    readonly controllerPort: number;
    readonly failureDomain: string;
}

/** Whether `update` is newer than `known`, the known state of the same VM. */
export const supersedes = (update: Member, known: Member | undefined): boolean => {
    if (known === undefined || update.incarnation !== known.incarnation) {
        return known === undefined || update.incarnation > known.incarnation;
    }
    if (update.sequence !== known.sequence) {
        return update.sequence > known.sequence;
    }
    return update.condition > known.condition;
};
