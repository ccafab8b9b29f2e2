/** Time for which new work at a primary may be held back while its lease moves. */
export const HOLD_LIMIT_MS = 2_000;
/** Time that the controllers may take to hand the leases over. */
export const HAND_OVER_LIMIT_MS = 10_000;
/** Share of the deadline for which open transactions may keep the leases in place. */
const FINISHING_SHARE = 0.5;

/** Constants for `ProxyDrainState.phase`, in their order. */
export const ProxyDrainPhase = {
    /** Open transactions go on and new work is still taken; holderships of replicas move. */
    Finishing: "finishing",
    /** New work at primaries that this VM holds waits until what runs there is done. */
    Holding: "holding",
    /** Nothing runs at the held primaries; the leases move. */
    HandingOver: "handingOver",
    /** Sessions that are still busy finish. */
    Leaving: "leaving",
    Done: "done",
} as const;
export type ProxyDrainPhase = typeof ProxyDrainPhase[keyof typeof ProxyDrainPhase];

/** A proxy's graceful shutdown. Times are monotonic milliseconds. */
export interface ProxyDrainState {
    phase: ProxyDrainPhase;
    phaseEndsAtMs: number;
    readonly deadlineAtMs: number;
}

/** What the proxy has to do still. */
export interface ProxyWork {
    readonly sessions: number;
    /** Transactions that are open at instances that this VM holds. */
    readonly openTransactions: number;
    /** Requests that run at instances that this VM holds. */
    readonly runningRequests: number;
    /** Whether another VM holds every primary, or no controller is there to move them. */
    readonly isHandedOver: boolean;
}

/** Constants for what the proxy is to do. */
export const ProxyDrainAction = {
    HoldNewWork: "holdNewWork",
    EndTransactions: "endTransactions",
    ReportQuiet: "reportQuiet",
    ReleaseHeldWork: "releaseHeldWork",
    EndSessions: "endSessions",
    Finish: "finish",
} as const;
export type ProxyDrainAction = typeof ProxyDrainAction[keyof typeof ProxyDrainAction];

/** @param durationMs time that the shutdown may take */
export const createProxyDrain = (durationMs: number, nowMs: number): ProxyDrainState => ({
    phase: ProxyDrainPhase.Finishing,
    phaseEndsAtMs: nowMs + durationMs * FINISHING_SHARE,
    deadlineAtMs: nowMs + durationMs,
});

type PhaseHandler = (state: ProxyDrainState, work: ProxyWork, nowMs: number) => ProxyDrainAction[];

const handlers: Readonly<Record<ProxyDrainPhase, PhaseHandler>> = {
    finishing: (state, work, nowMs) => {
        if (work.openTransactions > 0 && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        enter(state, ProxyDrainPhase.Holding, nowMs + HOLD_LIMIT_MS);
        return [ProxyDrainAction.HoldNewWork];
    },
    holding: (state, work, nowMs) => {
        const isQuiet = work.openTransactions === 0 && work.runningRequests === 0;
        if (!isQuiet && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        enter(state, ProxyDrainPhase.HandingOver, nowMs + HAND_OVER_LIMIT_MS);
        return isQuiet ? [ProxyDrainAction.ReportQuiet] : [ProxyDrainAction.EndTransactions, ProxyDrainAction.ReportQuiet];
    },
    handingOver: (state, work, nowMs) => {
        if (!work.isHandedOver && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        enter(state, ProxyDrainPhase.Leaving, state.deadlineAtMs);
        return [ProxyDrainAction.ReleaseHeldWork];
    },
    leaving: (state, work, nowMs) => {
        const isEmpty = work.sessions === 0 && work.runningRequests === 0;
        if (!isEmpty && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        state.phase = ProxyDrainPhase.Done;
        return isEmpty ? [ProxyDrainAction.Finish] : [ProxyDrainAction.EndSessions, ProxyDrainAction.Finish];
    },
    done: () => [],
};

/** Advances a proxy's shutdown by as many phases as its work allows. */
export const stepProxyDrain = (state: ProxyDrainState, work: ProxyWork, nowMs: number): ProxyDrainAction[] => {
    const actions: ProxyDrainAction[] = [];
    for (let phase: ProxyDrainPhase | undefined; phase !== state.phase;) {
        phase = state.phase;
        actions.push(...handlers[phase](state, work, nowMs));
        if (actions.includes(ProxyDrainAction.ReportQuiet) || actions.includes(ProxyDrainAction.ReleaseHeldWork)) {
            // What follows is to be decided on fresh numbers.
            break;
        }
    }
    return actions;
};

const enter = (state: ProxyDrainState, phase: ProxyDrainPhase, endsAtMs: number): void => {
    state.phase = phase;
    state.phaseEndsAtMs = endsAtMs;
};
