import { createReplacement, type ReplacementState } from "@pomeloturn/replace-primary/ReplacementState";
import { ListingView } from "./ListingView.ts";

/** A VM of the simulation. */
export interface SimulatedVm {
    readonly name: string;
    readonly index: number;
    readonly state: ReplacementState;
    readonly listing: ListingView;
    /** Whether it has read the authority from the store since its start. */
    hasReadAuthority: boolean;
    /** Whether its process has ended. */
    hasEnded: boolean;
    isSuspended: boolean;
    /** Whether it gets no answers and no news from the store. */
    isCutOff: boolean;
    readonly pendingEvents: (() => void)[];
}

/** @param nowMs time at which its process starts */
export const createSimulatedVm = (index: number, areFencesChecked: boolean, syncReplicas: number, nowMs: number): SimulatedVm => {
    const name = `vm-${index}`;
    return {
        name,
        index,
        state: createReplacement(name, nowMs, areFencesChecked),
        listing: ListingView.create(syncReplicas > 0),
        hasReadAuthority: false,
        hasEnded: false,
        isSuspended: false,
        isCutOff: false,
        pendingEvents: [],
    };
};
