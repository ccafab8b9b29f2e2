/** Time for which new work at a primary may be paused before the leases are transferred. */
export const PAUSE_TIMEOUT_MS = 2_000;
/** Time limit for the controllers to transfer the leases. */
export const LEASE_TRANSFER_TIMEOUT_MS = 10_000;
/** Share of the shutdown time for which open transactions may delay the transfer of the leases. */
const TRANSACTION_SHARE = 0.5;

/** Constants for `ProxyDrainState.phase`, in the order of the shutdown. */
export const ProxyDrainPhase = {
    /** Open transactions continue and new work is accepted. Other VMs become the holders of the replicas. */
    WaitingForTransactions: "waitingForTransactions",
    /** New work at the primaries that this VM holds is paused until the running work is done. */
    Quiescing: "quiescing",
    /** No work runs at the primaries that this VM holds, and other VMs take over the leases. */
    TransferringLeases: "transferringLeases",
    /** Sessions that are still in use finish. */
    WaitingForSessions: "waitingForSessions",
    Done: "done",
} as const;
export type ProxyDrainPhase = typeof ProxyDrainPhase[keyof typeof ProxyDrainPhase];

/** State of a proxy's graceful shutdown. Times are monotonic milliseconds. */
export interface ProxyDrainState {
    phase: ProxyDrainPhase;
    phaseEndsAtMs: number;
    readonly deadlineAtMs: number;
}

/** Remaining work of a proxy. */
export interface ProxyWork {
    readonly sessions: number;
    /** Open transactions at instances that this VM holds. */
    readonly openTransactions: number;
    /** Running requests at instances that this VM holds. */
    readonly runningRequests: number;
    /** Whether this VM holds no primary any more, or has no controller that could transfer their leases. */
    readonly areLeasesTransferred: boolean;
}

/** Constants for the actions of a proxy's shutdown. */
export const ProxyDrainAction = {
    PauseNewWork: "pauseNewWork",
    EndTransactions: "endTransactions",
    ReportQuiesced: "reportQuiesced",
    ResumeNewWork: "resumeNewWork",
    EndSessions: "endSessions",
    Finish: "finish",
} as const;
export type ProxyDrainAction = typeof ProxyDrainAction[keyof typeof ProxyDrainAction];

/** @param durationMs time limit of the shutdown */
export const createProxyDrain = (durationMs: number, nowMs: number): ProxyDrainState => ({
    phase: ProxyDrainPhase.WaitingForTransactions,
    phaseEndsAtMs: nowMs + durationMs * TRANSACTION_SHARE,
    deadlineAtMs: nowMs + durationMs,
});

type PhaseHandler = (state: ProxyDrainState, work: ProxyWork, nowMs: number) => ProxyDrainAction[];

const handlers: Readonly<Record<ProxyDrainPhase, PhaseHandler>> = {
    waitingForTransactions: (state, work, nowMs) => {
        if (work.openTransactions > 0 && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        enterPhase(state, ProxyDrainPhase.Quiescing, nowMs + PAUSE_TIMEOUT_MS);
        return [ProxyDrainAction.PauseNewWork];
    },
    quiescing: (state, work, nowMs) => {
        const isQuiesced = work.openTransactions === 0 && work.runningRequests === 0;
        if (!isQuiesced && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        enterPhase(state, ProxyDrainPhase.TransferringLeases, nowMs + LEASE_TRANSFER_TIMEOUT_MS);
        return isQuiesced ? [ProxyDrainAction.ReportQuiesced] : [ProxyDrainAction.EndTransactions, ProxyDrainAction.ReportQuiesced];
    },
    transferringLeases: (state, work, nowMs) => {
        if (!work.areLeasesTransferred && nowMs < state.phaseEndsAtMs) {
            return [];
        }
        enterPhase(state, ProxyDrainPhase.WaitingForSessions, state.deadlineAtMs);
        return [ProxyDrainAction.ResumeNewWork];
    },
    waitingForSessions: (state, work, nowMs) => {
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
        if (actions.includes(ProxyDrainAction.ReportQuiesced) || actions.includes(ProxyDrainAction.ResumeNewWork)) {
            // The next phase has to be decided on new counts of the work.
            break;
        }
    }
    return actions;
};

const enterPhase = (state: ProxyDrainState, phase: ProxyDrainPhase, endsAtMs: number): void => {
    state.phase = phase;
    state.phaseEndsAtMs = endsAtMs;
};
