import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import type { TableResult, TableRow } from "@pomeloturn/types/Platform";
import { type ApplyAction, ApplyActionKind, type ApplyEvent } from "./applyMessages.ts";
import { hashText, parseBundle } from "./ConfigBundle.ts";
import { type ConfigHead, HEAD_KEY, HISTORY_KEY, type HistoryEntry, parseHead, parseHistory } from "./ConfigHead.ts";
import { type ApplyPlan, ApplyPlanKind, type ConfigEdit, planApply } from "./planApply.ts";

/** Number of failed calls of the platform, over the whole apply, at which it gives up. */
const MAXIMUM_FAILURE_COUNT = 8;

/** Transactions that may fail because another operator's edit was written first, before the apply gives up. */
const MAXIMUM_LOST_RACE_COUNT = 20;

type WritePlan = Extract<ApplyPlan, { kind: typeof ApplyPlanKind.Write; }>;

/** State of an apply in progress. */
export interface ApplyState {
    readonly edit: ConfigEdit;
    /** Equal for repeated applies of the same edit by the same operator, so that a repetition finds the result of an earlier one. */
    readonly applyId: string;
    failureCount: number;
    /** Transactions of this apply that the table service rejected because another edit was written first. */
    lostRaceCount: number;
    rows: readonly TableRow[];
    head: ConfigHead;
    history: readonly HistoryEntry[];
    /** Name of the base version's object as it was first read. */
    baseObjectName: string | undefined;
    plan: WritePlan | undefined;
    lastAction: ApplyAction;
}

const READ_ROWS: ApplyAction = { kind: ApplyActionKind.ReadRows, keys: [HEAD_KEY, HISTORY_KEY] };

export const createApply = (edit: ConfigEdit): ApplyState => ({
    edit,
    applyId: hashText(JSON.stringify([edit.operator, edit.baseVersion ?? null, edit.files])),
    failureCount: 0,
    lostRaceCount: 0,
    rows: [],
    head: { version: 0, objectName: "", files: [] },
    history: [],
    baseObjectName: undefined,
    plan: undefined,
    lastAction: READ_ROWS,
});

type Handlers = { readonly [Kind in ApplyEvent["kind"]]: (state: ApplyState, event: Extract<ApplyEvent, { kind: Kind; }>) => ApplyAction; };

/**
 * Returns the next action of an apply.
 *
 * A transaction without an answer is repeated with the same operation id until the table service returns the outcome of
 * its first run. Only then does the apply start another transaction. An edit is therefore never applied twice, and an
 * applied edit is never reported as failed.
 */
export const stepApply = (state: ApplyState, event: ApplyEvent): ApplyAction => {
    const handler = handlers[event.kind] as (state: ApplyState, event: ApplyEvent) => ApplyAction;
    state.lastAction = runWithFailureOutcome(() => handler(state, event));
    return state.lastAction;
};

const runWithFailureOutcome = (run: () => ApplyAction): ApplyAction => {
    try {
        return run();
    }
    catch (error) {
        if (!(error instanceof PomeloturnError)) {
            throw error;
        }
        return fail(error.code, error.message);
    }
};

const fail = (code: ResultCode, detail: string): ApplyAction => ({
    kind: ApplyActionKind.Done,
    outcome: { isAccepted: false, code, detail },
});

const succeed = (version: number, isUnchanged: boolean, headVersion = version): ApplyAction => ({
    kind: ApplyActionKind.Done,
    outcome: { isAccepted: true, version, isUnchanged, headVersion },
});

const receiveRows = (state: ApplyState, rows: readonly TableRow[]): ApplyAction => {
    state.rows = rows;
    state.head = parseHead(rows[0]!);
    state.history = parseHistory(rows[1]!);
    const ownEntry = state.history.find(({ applyId }) => applyId === state.applyId);
    if (ownEntry !== undefined) {
        return succeed(ownEntry.version, false, state.head.version);
    }
    const baseObjectName = findBaseObjectName(state);
    state.baseObjectName ??= baseObjectName;
    if (baseObjectName !== state.baseObjectName) {
        throw PomeloturnError.create(
            ResultCode.BaseVersionUnknown,
            `base version ${state.edit.baseVersion} is now another one: the table service was restored from an older copy`,
        );
    }
    const objectNames = [state.head.objectName, baseObjectName].filter(name => name !== "");
    return objectNames.length === 0
        ? receiveFiles(state, [], [])
        : { kind: ApplyActionKind.GetObjects, names: [...new Set(objectNames)] };
};

/** Returns the name of the base version's object, or "" for a base without files. */
const findBaseObjectName = ({ edit, head, history }: ApplyState): string => {
    const { baseVersion } = edit;
    if (baseVersion === undefined || baseVersion === 0 || baseVersion === head.version) {
        return baseVersion === head.version ? head.objectName : "";
    }
    const entry = history.find(({ version }) => version === baseVersion);
    if (entry === undefined) {
        throw PomeloturnError.create(
            ResultCode.BaseVersionUnknown,
            `base version ${baseVersion} is not in the history; the active version is ${head.version}`,
        );
    }
    return entry.objectName;
};

const receiveObjects = (state: ApplyState, bodies: readonly (string | undefined)[]): ApplyAction => {
    const [headBody, baseBody] = [bodies[0], bodies.at(-1)];
    if (headBody === undefined || baseBody === undefined) {
        return fail(ResultCode.StoreUnavailable, "the store does not have the object of the active version or of the base version");
    }
    const headFiles = parseBundle(state.head.objectName, headBody).files;
    const baseObjectName = findBaseObjectName(state);
    return receiveFiles(state, headFiles, baseObjectName === "" ? [] : parseBundle(baseObjectName, baseBody).files);
};

const receiveFiles = (state: ApplyState, headFiles: readonly ConfigFile[], requestedBaseFiles: readonly ConfigFile[]): ApplyAction => {
    const { edit, applyId, head, history } = state;
    const isBaseMissing = edit.baseVersion === undefined && head.version > 0;
    const baseFiles = isBaseMissing ? headFiles : requestedBaseFiles;
    const plan = planApply({ edit, applyId, head, history, headFiles, baseFiles });
    if (plan.kind === ApplyPlanKind.Unchanged) {
        return succeed(plan.version, true);
    }
    if (isBaseMissing) {
        return fail(
            ResultCode.BaseVersionUnknown,
            `the edit names no base version; state the version that the files were edited from (the active one is version ${head.version})`,
        );
    }
    if (plan.kind === ApplyPlanKind.Refuse) {
        return fail(plan.code, plan.detail);
    }
    state.plan = plan;
    return { kind: ApplyActionKind.PutObject, name: plan.head.objectName, body: plan.body };
};

const transact = ({ applyId, lostRaceCount, rows, plan }: ApplyState): ApplyAction => ({
    kind: ApplyActionKind.Transact,
    operationId: `${applyId}/${lostRaceCount}`,
    writes: [
        { key: HEAD_KEY, expectedVersion: rows[0]!.version, expectedEra: rows[0]!.era, value: JSON.stringify(plan!.head) },
        { key: HISTORY_KEY, expectedVersion: rows[1]!.version, expectedEra: rows[1]!.era, value: JSON.stringify(plan!.history) },
    ],
});

const receiveResult = (state: ApplyState, { isApplied, rows }: TableResult): ApplyAction => {
    if (isApplied) {
        return succeed(parseHead(rows[0]!).version, false);
    }
    state.lostRaceCount++;
    return state.lostRaceCount > MAXIMUM_LOST_RACE_COUNT
        ? fail(
            ResultCode.ConfigurationConflict,
            `more than ${MAXIMUM_LOST_RACE_COUNT} edits by others were written first; nothing was applied`,
        )
        : READ_ROWS;
};

const receiveFailure = (state: ApplyState): ApplyAction => {
    state.failureCount++;
    if (state.failureCount < MAXIMUM_FAILURE_COUNT) {
        return state.lastAction;
    }
    const isOutcomeUnknown = state.lastAction.kind === ApplyActionKind.Transact;
    return isOutcomeUnknown
        ? fail(ResultCode.StoreUnavailable, "it is not known whether the edit was applied; applying it again from the same base is safe")
        : fail(ResultCode.StoreUnavailableBeforeRun, "");
};

const handlers: Handlers = {
    start: () => READ_ROWS,
    rows: (state, { rows }) => receiveRows(state, rows),
    objects: (state, { bodies }) => receiveObjects(state, bodies),
    objectPut: state => transact(state),
    transacted: (state, { result }) => receiveResult(state, result),
    failed: receiveFailure,
};
