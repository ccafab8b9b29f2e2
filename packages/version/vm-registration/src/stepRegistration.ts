import { isAtOrAfterPoint } from "@pomeloturn/store-point/isAtOrAfterPoint";
import type { StorePoint } from "@pomeloturn/types/StoreRow";
import type { RegistrationState } from "./RegistrationState.ts";

/** An event of a VM's registration. */
export type RegistrationEvent =
    | { readonly kind: "started"; }
    | { readonly kind: "shuttingDown"; }
    /** The table of the registrations was read. `isRegistered`: whether it holds this VM with its present addresses. */
    | { readonly kind: "read"; readonly isRegistered: boolean; readonly point: StorePoint; }
    /** A write or deletion was applied at a point. `isRegistered`: whether it was a write. */
    | { readonly kind: "changed"; readonly isRegistered: boolean; readonly point: StorePoint; }
    /** A write or deletion failed or was not answered, and the delay after it is over. */
    | { readonly kind: "retryDue"; };

/** Action that the caller of `stepRegistration` has to carry out. It is answered by `changed`, or after a delay by `retryDue`. */
export const RegistrationAction = {
    Register: "register",
    Delete: "delete",
} as const;
export type RegistrationAction = typeof RegistrationAction[keyof typeof RegistrationAction];

type Handlers = {
    readonly [Kind in RegistrationEvent["kind"]]: (
        state: RegistrationState,
        event: Extract<RegistrationEvent, { kind: Kind; }>,
    ) => RegistrationAction | undefined;
};

const change = (state: RegistrationState): RegistrationAction => {
    state.isPending = true;
    return state.isWanted ? RegistrationAction.Register : RegistrationAction.Delete;
};

const handlers: Handlers = {
    started: change,
    shuttingDown: state => {
        state.isWanted = false;
        // A deletion beside a write that has not been answered could be applied before it.
        return state.isPending ? undefined : change(state);
    },
    read: (state, { isRegistered, point }) =>
        !state.isPending && isRegistered !== state.isWanted && isAtOrAfterPoint(point, state.changedAt) ? change(state) : undefined,
    changed: (state, { isRegistered, point }) => {
        state.isPending = false;
        state.changedAt = point;
        return isRegistered === state.isWanted ? undefined : change(state);
    },
    retryDue: change,
};

/**
 * Applies an event to a VM's registration. A registration that the store has lost, or whose deletion it has lost, is written
 * or deleted again.
 */
export const stepRegistration = (state: RegistrationState, event: RegistrationEvent): RegistrationAction | undefined => {
    const handler = handlers[event.kind] as Handlers["read"];
    return handler(state, event as Extract<RegistrationEvent, { kind: "read"; }>);
};
