import { LEASE_TRANSFER_TIMEOUT_MS, PAUSE_TIMEOUT_MS } from "./stepProxyDrain.ts";

/** Constants for `ControllerDrainState.phase`, in the order of the shutdown. */
export const ControllerDrainPhase = {
    /** The proxy finishes the work that needs this VM's leases. */
    WaitingForQuiescence: "waitingForQuiescence",
    /** Other VMs take over the leases. */
    Releasing: "releasing",
    /** The proxy's sessions end. */
    WaitingForProxy: "waitingForProxy",
    Done: "done",
} as const;
export type ControllerDrainPhase = typeof ControllerDrainPhase[keyof typeof ControllerDrainPhase];

/** State of a controller's graceful shutdown. Times are monotonic milliseconds. */
export interface ControllerDrainState {
    phase: ControllerDrainPhase;
    readonly deadlineAtMs: number;
}

/** Conditions on which a controller's shutdown depends. */
export interface ControllerDrainInputs {
    readonly isProxyConnected: boolean;
    /** Whether no request or transaction runs at the primaries that the proxy holds. */
    readonly isProxyQuiesced: boolean;
    /** Whether the leases have been released. */
    readonly isReleased: boolean;
}

/** Constants for the actions of a controller's shutdown. */
export const ControllerDrainAction = {
    ReleaseLeases: "releaseLeases",
    Finish: "finish",
} as const;
export type ControllerDrainAction = typeof ControllerDrainAction[keyof typeof ControllerDrainAction];

/** Additional time after the proxy's deadline for its last steps. */
const DEADLINE_MARGIN_MS = PAUSE_TIMEOUT_MS + LEASE_TRANSFER_TIMEOUT_MS;

/** @param durationMs time limit of the proxy's shutdown */
export const createControllerDrain = (durationMs: number, nowMs: number): ControllerDrainState => ({
    phase: ControllerDrainPhase.WaitingForQuiescence,
    deadlineAtMs: nowMs + durationMs + DEADLINE_MARGIN_MS,
});

type PhaseHandler = (state: ControllerDrainState, inputs: ControllerDrainInputs, isPastDeadline: boolean) => ControllerDrainAction[];

const handlers: Readonly<Record<ControllerDrainPhase, PhaseHandler>> = {
    waitingForQuiescence: (state, { isProxyConnected, isProxyQuiesced }, isPastDeadline) => {
        if (isProxyConnected && !isProxyQuiesced && !isPastDeadline) {
            return [];
        }
        state.phase = ControllerDrainPhase.Releasing;
        return [ControllerDrainAction.ReleaseLeases];
    },
    releasing: (state, { isReleased }) => {
        if (isReleased) {
            state.phase = ControllerDrainPhase.WaitingForProxy;
        }
        return [];
    },
    waitingForProxy: (state, { isProxyConnected }, isPastDeadline) => {
        if (isProxyConnected && !isPastDeadline) {
            return [];
        }
        state.phase = ControllerDrainPhase.Done;
        return [ControllerDrainAction.Finish];
    },
    done: () => [],
};

/** Advances a controller's shutdown by at most one phase. @param nowMs monotonic time in milliseconds */
export const stepControllerDrain = (
    state: ControllerDrainState,
    inputs: ControllerDrainInputs,
    nowMs: number,
): ControllerDrainAction[] => handlers[state.phase](state, inputs, nowMs >= state.deadlineAtMs);
