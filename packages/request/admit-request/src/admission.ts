import { ResultCode } from "@pomeloturn/errors/ResultCode";

/** A request that waits for a slot or has one. */
export interface AdmissionItem {
    readonly id: number;
    /** Index into the service's ranks; 0 is the most urgent. */
    readonly rank: number;
    readonly deadlineAtMs: number;
}

/** Slots and queues of one instance. */
export interface AdmissionState {
    readonly slots: number;
    readonly queueLimit: number;
    /** A queue per rank. */
    readonly queues: AdmissionItem[][];
    readonly running: Map<number, AdmissionItem>;
}

/** Constants for `AdmissionEvent.kind`. */
export const AdmissionEventKind = {
    Arrived: "arrived",
    Finished: "finished",
} as const;

export type AdmissionEvent =
    | { readonly kind: typeof AdmissionEventKind.Arrived; readonly item: AdmissionItem; }
    | { readonly kind: typeof AdmissionEventKind.Finished; readonly id: number; };

/** Constants for `AdmissionAction.kind`. */
export const AdmissionActionKind = {
    Start: "start",
    Refuse: "refuse",
} as const;

export type AdmissionAction =
    | { readonly kind: typeof AdmissionActionKind.Start; readonly id: number; }
    | { readonly kind: typeof AdmissionActionKind.Refuse; readonly id: number; readonly code: ResultCode; };

/** @param rankCount number of ranks of the service */
export const createAdmission = (slots: number, rankCount: number, queueLimit: number): AdmissionState => ({
    slots,
    queueLimit,
    queues: Array.from({ length: rankCount }, () => []),
    running: new Map(),
});

/**
 * Applies an event and starts what fits the free slots, the most urgent first.
 *
 * @param nowMs monotonic time in milliseconds
 */
export const stepAdmission = (state: AdmissionState, event: AdmissionEvent, nowMs: number): AdmissionAction[] => {
    if (event.kind === AdmissionEventKind.Finished) {
        state.running.delete(event.id);
        return startWaiting(state, nowMs);
    }
    const queue = state.queues[event.item.rank] ?? state.queues.at(-1)!;
    if (queue.length >= state.queueLimit) {
        return [{ kind: AdmissionActionKind.Refuse, id: event.item.id, code: ResultCode.QueueFull }];
    }
    queue.push(event.item);
    return startWaiting(state, nowMs);
};

const startWaiting = (state: AdmissionState, nowMs: number): AdmissionAction[] => {
    const actions: AdmissionAction[] = [];
    while (state.running.size < state.slots) {
        const item = state.queues.find(queue => queue.length > 0)?.shift();
        if (item === undefined) {
            break;
        }
        if (item.deadlineAtMs <= nowMs) {
            actions.push({ kind: AdmissionActionKind.Refuse, id: item.id, code: ResultCode.DeadlineBeforeRun });
            continue;
        }
        state.running.set(item.id, item);
        actions.push({ kind: AdmissionActionKind.Start, id: item.id });
    }
    return actions;
};
