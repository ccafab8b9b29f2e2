import { HAND_OVER_LIMIT_MS, HOLD_LIMIT_MS } from "./stepProxyDrain.ts";

/** Constants for `ControllerDrainState.phase`, in their order. */
export const ControllerDrainPhase = {
    /** The proxy finishes what needs this VM's leases. */
    WaitingForQuiet: "waitingForQuiet",
    /** Other VMs take the leases. */
    Releasing: "releasing",
    /** The proxy's sessions finish. */
    WaitingForProxy: "waitingForProxy",
    Done: "done",
} as const;
export type ControllerDrainPhase = typeof ControllerDrainPhase[keyof typeof ControllerDrainPhase];

/** A controller's graceful shutdown. Times are monotonic milliseconds. */
export interface ControllerDrainState {
    phase: ControllerDrainPhase;
    readonly deadlineAtMs: number;
}

/** What the controller sees. */
export interface ControllerDrainInputs {
    readonly isProxyConnected: boolean;
    readonly isProxyQuiet: boolean;
    readonly isReleased: boolean;
}

/** Constants for what the controller is to do. */
export const ControllerDrainAction = {
    ReleaseLeases: "releaseLeases",
    Finish: "finish",
} as const;
export type ControllerDrainAction = typeof ControllerDrainAction[keyof typeof ControllerDrainAction];

/** Time beyond the proxy's deadline that its last steps may take. */
const MARGIN_MS = HOLD_LIMIT_MS + HAND_OVER_LIMIT_MS;

/** @param durationMs time that the proxy's shutdown may take */
export const createControllerDrain = (durationMs: number, nowMs: number): ControllerDrainState => ({
    phase: ControllerDrainPhase.WaitingForQuiet,
    deadlineAtMs: nowMs + durationMs + MARGIN_MS,
});

type PhaseHandler = (state: ControllerDrainState, inputs: ControllerDrainInputs, isLate: boolean) => ControllerDrainAction[];

const handlers: Readonly<Record<ControllerDrainPhase, PhaseHandler>> = {
    waitingForQuiet: (state, { isProxyConnected, isProxyQuiet }, isLate) => {
        if (isProxyConnected && !isProxyQuiet && !isLate) {
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
    waitingForProxy: (state, { isProxyConnected }, isLate) => {
        if (isProxyConnected && !isLate) {
            return [];
        }
        state.phase = ControllerDrainPhase.Done;
        return [ControllerDrainAction.Finish];
    },
    done: () => [],
};

/** Advances a controller's shutdown. @param nowMs monotonic time in milliseconds */
export const stepControllerDrain = (
    state: ControllerDrainState,
    inputs: ControllerDrainInputs,
    nowMs: number,
): ControllerDrainAction[] => handlers[state.phase](state, inputs, nowMs >= state.deadlineAtMs);
