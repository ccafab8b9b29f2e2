import type { StorePoint } from "@pomeloturn/types/StoreRow";

/** State of a VM's own registration in the store. */
export interface RegistrationState {
    /** False from the shutdown of the VM on. */
    isWanted: boolean;
    /** Whether a write or a deletion has not been answered yet, or is to be repeated after a delay. */
    isPending: boolean;
    /** Point at which this process last wrote or deleted the registration. */
    changedAt: StorePoint;
}

export const createRegistration = (): RegistrationState => ({
    isWanted: true,
    isPending: false,
    changedAt: { era: 0, version: 0 },
});
