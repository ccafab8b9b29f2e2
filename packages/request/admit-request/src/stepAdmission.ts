import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { AdmissionItem, AdmissionState, RankState, WaitingItem } from "./AdmissionState.ts";
import { estimateWaitMs, smooth } from "./estimateWait.ts";
import { advanceFloors } from "./floors.ts";
import { pickRank } from "./pickRank.ts";

/** Constants for `AdmissionEvent.kind`. */
export const AdmissionEventKind = {
    Arrived: "arrived",
    Finished: "finished",
    Canceled: "canceled",
    Tick: "tick",
} as const;

/** What happens to an instance's queues. */
export type AdmissionEvent =
    | { readonly kind: typeof AdmissionEventKind.Arrived; readonly item: AdmissionItem; }
    /** The request no longer uses its slot. */
    | { readonly kind: typeof AdmissionEventKind.Finished; readonly id: number; }
    | { readonly kind: typeof AdmissionEventKind.Canceled; readonly id: number; }
    /** Refuses waiting requests whose deadline has passed. */
    | { readonly kind: typeof AdmissionEventKind.Tick; };

/** Constants for `AdmissionAction.kind`. */
export const AdmissionActionKind = {
    Start: "start",
    Refuse: "refuse",
} as const;

/** What the holder is to do. A request gets exactly one action. */
export type AdmissionAction =
    | { readonly kind: typeof AdmissionActionKind.Start; readonly id: number; }
    | { readonly kind: typeof AdmissionActionKind.Refuse; readonly id: number; readonly code: ResultCode; };

/** Estimates of a wait are taken to be this much too low. */
const WAIT_ERROR_FACTOR = 1.25;

type AdmissionHandlers = {
    readonly [Kind in AdmissionEvent["kind"]]: (
        state: AdmissionState,
        event: Extract<AdmissionEvent, { kind: Kind; }>,
        nowMs: number,
    ) => AdmissionAction[];
};

const handlers: AdmissionHandlers = {
    arrived: (state, { item }, nowMs) => arrive(state, item, nowMs),
    finished: (state, { id }, nowMs) => {
        finish(state, id, nowMs);
        return [];
    },
    canceled: (state, { id }) => refuseWaiting(state, item => item.id === id, ResultCode.CanceledBeforeRun),
    tick: (state, _event, nowMs) => refuseWaiting(state, item => item.deadlineAtMs <= nowMs, ResultCode.DeadlineBeforeRun),
};

/**
 * Applies an event and starts what fits the free slots.
 *
 * @param nowMs monotonic time in milliseconds
 */
export const stepAdmission = (state: AdmissionState, event: AdmissionEvent, nowMs: number): AdmissionAction[] => {
    advanceFloors(state, nowMs);
    const handler = handlers[event.kind] as (state: AdmissionState, event: AdmissionEvent, nowMs: number) => AdmissionAction[];
    const actions = handler(state, event, nowMs);
    startWaiting(state, actions, nowMs);
    return actions;
};

const findRank = (state: AdmissionState, rank: number): number => Math.min(rank, state.options.ranks.length - 1);

const arrive = (state: AdmissionState, item: AdmissionItem, nowMs: number): AdmissionAction[] => {
    const rank = findRank(state, item.rank);
    const waiting: WaitingItem = { ...item, rank, arrivedAtMs: nowMs };
    if (item.isPinned) {
        // All slots may wait for a lock that this transaction holds: it cannot wait for a slot.
        return [start(state, waiting, nowMs)];
    }
    const code = checkArrival(state, waiting, nowMs);
    if (code !== ResultCode.Ok) {
        return [{ kind: AdmissionActionKind.Refuse, id: item.id, code }];
    }
    const { queue } = state.ranks[rank]!;
    queue.push(waiting);
    state.ranks[rank]!.queuedBytes += item.sizeBytes;
    return [];
};

const checkArrival = (state: AdmissionState, item: WaitingItem, nowMs: number): ResultCode => {
    const { queue, queuedBytes, serviceTimeMs } = state.ranks[item.rank]!;
    const { queueLimit, queueLimitBytes } = state.options;
    if (item.deadlineAtMs <= nowMs) {
        return ResultCode.DeadlineBeforeRun;
    }
    if (queue.length === 0) {
        // Always taken, so that an estimate from a bad time is renewed.
        return ResultCode.Ok;
    }
    if (queue.length >= queueLimit || queuedBytes + item.sizeBytes > queueLimitBytes) {
        return ResultCode.QueueFull;
    }
    const expectedEndMs = nowMs + estimateWaitMs(state, item.rank) * WAIT_ERROR_FACTOR + serviceTimeMs;
    return expectedEndMs > item.deadlineAtMs ? ResultCode.DeadlineBeforeRun : ResultCode.Ok;
};

const finish = (state: AdmissionState, id: number, nowMs: number): void => {
    const item = state.running.get(id);
    if (item === undefined) {
        return;
    }
    state.running.delete(id);
    state.pinnedCount -= Number(item.isPinned);
    const rank = state.ranks[item.rank]!;
    rank.runningCount--;
    const heldMs = nowMs - item.startedAtMs;
    rank.serviceTimeMs = smooth(rank.serviceTimeMs, heldMs);
    rank.longestServiceMs = Math.max(rank.longestServiceMs, heldMs);
};

const refuseWaiting = (state: AdmissionState, isRefused: (item: WaitingItem) => boolean, code: ResultCode): AdmissionAction[] => {
    const actions: AdmissionAction[] = [];
    for (const rank of state.ranks) {
        const refused = rank.queue.filter(isRefused);
        if (refused.length === 0) {
            continue;
        }
        const kept = rank.queue.filter(item => !isRefused(item));
        rank.queue.splice(0, rank.queue.length, ...kept);
        rank.queuedBytes = kept.reduce((sum, item) => sum + item.sizeBytes, 0);
        actions.push(...refused.map(({ id }) => ({ kind: AdmissionActionKind.Refuse, id, code })));
    }
    return actions;
};

/** Open transactions may use all slots and more; new work keeps one, so that they cannot shut it out. */
const hasFreeSlot = (state: AdmissionState): boolean => {
    const { running, pinnedCount, options } = state;
    return running.size - pinnedCount < Math.max(1, options.slots - pinnedCount);
};

const startWaiting = (state: AdmissionState, actions: AdmissionAction[], nowMs: number): void => {
    while (hasFreeSlot(state)) {
        const index = pickRank(state);
        if (index === undefined) {
            return;
        }
        const rank = state.ranks[index]!;
        const item = rank.queue.shift()!;
        rank.queuedBytes -= item.sizeBytes;
        if (isTooLate(item, rank, nowMs)) {
            actions.push({ kind: AdmissionActionKind.Refuse, id: item.id, code: ResultCode.DeadlineBeforeRun });
        }
        else {
            actions.push(start(state, item, nowMs));
        }
    }
};

/** A request that has not waited is tried in any case, so that the service time is measured anew. */
const isTooLate = (item: WaitingItem, rank: RankState, nowMs: number): boolean =>
    item.deadlineAtMs <= nowMs || (item.arrivedAtMs < nowMs && item.deadlineAtMs < nowMs + rank.serviceTimeMs);

const start = (state: AdmissionState, item: WaitingItem, nowMs: number): AdmissionAction => {
    const rank = state.ranks[item.rank]!;
    const hasWaitedSinceLast = item.arrivedAtMs <= rank.lastStartedAtMs && item.arrivedAtMs < nowMs;
    if (hasWaitedSinceLast) {
        rank.startIntervalMs = smooth(rank.startIntervalMs, nowMs - rank.lastStartedAtMs);
    }
    rank.lastStartedAtMs = nowMs;
    rank.runningCount++;
    state.pinnedCount += Number(item.isPinned);
    state.running.set(item.id, { ...item, startedAtMs: nowMs });
    return { kind: AdmissionActionKind.Start, id: item.id };
};
