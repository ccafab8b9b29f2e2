import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { AdmissionRequest, AdmissionState, RankState, WaitingRequest } from "./AdmissionState.ts";
import { estimateWaitMs, smooth } from "./estimateWait.ts";
import { updateFloorDeficits } from "./floors.ts";
import { pickRank } from "./pickRank.ts";

/** Constants for `AdmissionEvent.kind`. */
export const AdmissionEventKind = {
    Arrived: "arrived",
    Finished: "finished",
    Canceled: "canceled",
    Tick: "tick",
} as const;

/** Input of `stepAdmission`. */
export type AdmissionEvent =
    | { readonly kind: typeof AdmissionEventKind.Arrived; readonly request: AdmissionRequest; }
    /** The request has released its slot. */
    | { readonly kind: typeof AdmissionEventKind.Finished; readonly id: number; }
    | { readonly kind: typeof AdmissionEventKind.Canceled; readonly id: number; }
    /** Time has passed: waiting requests whose deadline has passed are refused. */
    | { readonly kind: typeof AdmissionEventKind.Tick; };

/** Constants for `AdmissionAction.kind`. */
export const AdmissionActionKind = {
    Start: "start",
    Refuse: "refuse",
} as const;

/** What the holder has to do with a request. Each request gets exactly one action. */
export type AdmissionAction =
    | { readonly kind: typeof AdmissionActionKind.Start; readonly id: number; }
    | { readonly kind: typeof AdmissionActionKind.Refuse; readonly id: number; readonly code: ResultCode; };

/** Safety factor on estimated waits. */
const WAIT_ERROR_FACTOR = 1.25;

type AdmissionHandlers = {
    readonly [Kind in AdmissionEvent["kind"]]: (
        state: AdmissionState,
        event: Extract<AdmissionEvent, { kind: Kind; }>,
        nowMs: number,
    ) => AdmissionAction[];
};

const handlers: AdmissionHandlers = {
    arrived: (state, { request }, nowMs) => arrive(state, request, nowMs),
    finished: (state, { id }, nowMs) => {
        finish(state, id, nowMs);
        return [];
    },
    canceled: (state, { id }) => refuseWaiting(state, waiting => waiting.id === id, ResultCode.CanceledBeforeRun),
    tick: (state, _event, nowMs) => refuseWaiting(state, waiting => waiting.deadlineAtMs <= nowMs, ResultCode.DeadlineBeforeRun),
};

/**
 * Applies an event, then starts waiting requests while slots are free.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns the requests to start and to refuse, in order
 */
export const stepAdmission = (state: AdmissionState, event: AdmissionEvent, nowMs: number): AdmissionAction[] => {
    updateFloorDeficits(state, nowMs);
    const handler = handlers[event.kind] as (state: AdmissionState, event: AdmissionEvent, nowMs: number) => AdmissionAction[];
    const actions = handler(state, event, nowMs);
    startWaiting(state, actions, nowMs);
    return actions;
};

const clampRank = (state: AdmissionState, rank: number): number => Math.min(rank, state.options.ranks.length - 1);

const arrive = (state: AdmissionState, request: AdmissionRequest, nowMs: number): AdmissionAction[] => {
    const rank = clampRank(state, request.rank);
    const waiting: WaitingRequest = { ...request, rank, arrivedAtMs: nowMs };
    if (request.isPinned) {
        // Starts at once: if every slot waits for a lock of this transaction, waiting for a slot would be a deadlock.
        return [start(state, waiting, nowMs)];
    }
    const code = checkArrival(state, waiting, nowMs);
    if (code !== ResultCode.Ok) {
        return [{ kind: AdmissionActionKind.Refuse, id: request.id, code }];
    }
    const { queue } = state.ranks[rank]!;
    queue.push(waiting);
    state.ranks[rank]!.queuedBytes += request.sizeBytes;
    return [];
};

const checkArrival = (state: AdmissionState, request: WaitingRequest, nowMs: number): ResultCode => {
    const { queue, queuedBytes, serviceTimeMs } = state.ranks[request.rank]!;
    const { queueLimit, queueLimitBytes } = state.options;
    if (request.deadlineAtMs <= nowMs) {
        return ResultCode.DeadlineBeforeRun;
    }
    if (queue.length === 0) {
        // Always accepted, so that an estimate from an overload is measured again.
        return ResultCode.Ok;
    }
    if (queue.length >= queueLimit || queuedBytes + request.sizeBytes > queueLimitBytes) {
        return ResultCode.QueueFull;
    }
    const expectedEndAtMs = nowMs + estimateWaitMs(state, request.rank) * WAIT_ERROR_FACTOR + serviceTimeMs;
    return expectedEndAtMs > request.deadlineAtMs ? ResultCode.DeadlineBeforeRun : ResultCode.Ok;
};

const finish = (state: AdmissionState, id: number, nowMs: number): void => {
    const request = state.running.get(id);
    if (request === undefined) {
        return;
    }
    state.running.delete(id);
    state.pinnedCount -= Number(request.isPinned);
    const rank = state.ranks[request.rank]!;
    rank.runningCount--;
    const slotTimeMs = nowMs - request.startedAtMs;
    rank.serviceTimeMs = smooth(rank.serviceTimeMs, slotTimeMs);
    rank.longestServiceTimeMs = Math.max(rank.longestServiceTimeMs, slotTimeMs);
};

const refuseWaiting = (state: AdmissionState, isRefused: (request: WaitingRequest) => boolean, code: ResultCode): AdmissionAction[] => {
    const actions: AdmissionAction[] = [];
    for (const rank of state.ranks) {
        const refused = rank.queue.filter(isRefused);
        if (refused.length === 0) {
            continue;
        }
        const kept = rank.queue.filter(request => !isRefused(request));
        rank.queue.splice(0, rank.queue.length, ...kept);
        rank.queuedBytes = kept.reduce((sum, request) => sum + request.sizeBytes, 0);
        actions.push(...refused.map(({ id }) => ({ kind: AdmissionActionKind.Refuse, id, code })));
    }
    return actions;
};

/** Open transactions may use more than all slots. At least one slot remains for new requests, so that these are not starved. */
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
        const request = rank.queue.shift()!;
        rank.queuedBytes -= request.sizeBytes;
        if (isTooLate(request, rank, nowMs)) {
            actions.push({ kind: AdmissionActionKind.Refuse, id: request.id, code: ResultCode.DeadlineBeforeRun });
        }
        else {
            actions.push(start(state, request, nowMs));
        }
    }
};

/**
 * Returns whether a request can no longer meet its deadline. One that has not waited is started unless its deadline has
 * passed, so that the service time is measured again.
 */
const isTooLate = (request: WaitingRequest, rank: RankState, nowMs: number): boolean =>
    request.deadlineAtMs <= nowMs || (request.arrivedAtMs < nowMs && request.deadlineAtMs < nowMs + rank.serviceTimeMs);

const start = (state: AdmissionState, request: WaitingRequest, nowMs: number): AdmissionAction => {
    const rank = state.ranks[request.rank]!;
    const hasWaitedSinceLastStart = request.arrivedAtMs <= rank.lastStartedAtMs && request.arrivedAtMs < nowMs;
    if (hasWaitedSinceLastStart) {
        rank.startIntervalMs = smooth(rank.startIntervalMs, nowMs - rank.lastStartedAtMs);
    }
    rank.lastStartedAtMs = nowMs;
    rank.runningCount++;
    state.pinnedCount += Number(request.isPinned);
    state.running.set(request.id, { ...request, startedAtMs: nowMs });
    return { kind: AdmissionActionKind.Start, id: request.id };
};
