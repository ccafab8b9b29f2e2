import { type ApplyAction, type ApplyEvent, ApplyEventKind, type ApplyOutcome } from "@pomeloturn/config-version/applyMessages";
import type { ConfigEdit } from "@pomeloturn/config-version/planApply";
import { createApply, stepApply } from "@pomeloturn/config-version/stepApply";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import type { ObjectStore, TableService } from "@pomeloturn/types/Platform";

const RETRY_DELAY_MS = 200;

/** Services of the platform that store the configuration. */
export type ConfigStore = TableService & ObjectStore;

type PendingAction = Exclude<ApplyAction, { kind: "done"; }>;

type ActionHandlers = {
    readonly [Kind in PendingAction["kind"]]: (action: Extract<PendingAction, { kind: Kind; }>, store: ConfigStore) => Promise<ApplyEvent>;
};

/**
 * Applies an edit by executing the actions of `stepApply`. An action that fails with a PomeloturnError is reported
 * to `stepApply` after a delay; other errors are thrown.
 */
export const runApply = async (edit: ConfigEdit, store: ConfigStore): Promise<ApplyOutcome> => {
    const state = createApply(edit);
    let action = stepApply(state, { kind: ApplyEventKind.Start });
    while (action.kind !== "done") {
        action = stepApply(state, await executeAction(action, store));
    }
    return action.outcome;
};

const executeAction = async (action: PendingAction, store: ConfigStore): Promise<ApplyEvent> => {
    const handler = handlers[action.kind] as (action: PendingAction, store: ConfigStore) => Promise<ApplyEvent>;
    try {
        return await handler(action, store);
    }
    catch (error) {
        if (!(error instanceof PomeloturnError)) {
            throw error;
        }
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
        return { kind: ApplyEventKind.Failed };
    }
};

const handlers: ActionHandlers = {
    readRows: async ({ keys }, store) => ({ kind: ApplyEventKind.Rows, rows: await store.read(keys) }),
    getObjects: async ({ names }, store) => ({
        kind: ApplyEventKind.Objects,
        bodies: await Promise.all(names.map(name => store.get(name))),
    }),
    putObject: async ({ name, body }, store) => {
        await store.put(name, body);
        return { kind: ApplyEventKind.ObjectPut };
    },
    transact: async ({ operationId, writes }, store) => ({
        kind: ApplyEventKind.Transacted,
        result: await store.transact(operationId, writes),
    }),
};
