import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import type { TableResult, TableRow } from "@pomeloturn/types/Platform";
import { type ApplyAction, ApplyActionKind, type ApplyEvent } from "./applyMessages.ts";
import { hashText, openBundle } from "./ConfigBundle.ts";
import { type ConfigHead, HEAD_KEY, HISTORY_KEY, type HistoryEntry, parseHead, parseHistory } from "./ConfigHead.ts";
import { type ApplyPlan, ApplyPlanKind, type ConfigEdit, planApply } from "./planApply.ts";

/** Answers of the platform that may be missing, over the whole apply, before it gives up. */
const FAILURE_LIMIT = 8;

/** Races that an apply may lose before it gives up; each lost race put another operator's edit in force. */
const RACE_LIMIT = 20;

type WritePlan = Extract<ApplyPlan, { kind: typeof ApplyPlanKind.Write; }>;

/** An apply under way. */
export interface ApplyState {
    readonly edit: ConfigEdit;
    /** The same for every run of the same edit by the same operator, so that a second run finds the first. */
    readonly applyId: string;
    failureCount: number;
    /** Transactions of this apply that were refused because another edit came first. */
    raceCount: number;
    rows: readonly TableRow[];
    head: ConfigHead;
    history: readonly HistoryEntry[];
    plan: WritePlan | undefined;
    lastAction: ApplyAction;
}

const READ_ROWS: ApplyAction = { kind: ApplyActionKind.ReadRows, keys: [HEAD_KEY, HISTORY_KEY] };

export const createApply = (edit: ConfigEdit): ApplyState => ({
    edit,
    applyId: hashText(JSON.stringify([edit.operator, edit.baseVersion ?? null, edit.files])),
    failureCount: 0,
    raceCount: 0,
    rows: [],
    head: { version: 0, objectName: "", files: [] },
    history: [],
    plan: undefined,
    lastAction: READ_ROWS,
});

type Handlers = { readonly [Kind in ApplyEvent["kind"]]: (state: ApplyState, event: Extract<ApplyEvent, { kind: Kind; }>) => ApplyAction; };

/**
 * Decides the next step of an apply.
 *
 * A transaction whose answer is missing is repeated under its own operation id until the table service states its
 * first outcome; only then is another one made. So an edit never runs twice, and what stands is never called failed.
 */
export const stepApply = (state: ApplyState, event: ApplyEvent): ApplyAction => {
    const handler = handlers[event.kind] as (state: ApplyState, event: ApplyEvent) => ApplyAction;
    state.lastAction = attempt(() => handler(state, event));
    return state.lastAction;
};

const attempt = (run: () => ApplyAction): ApplyAction => {
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
    const own = state.history.find(({ applyId }) => applyId === state.applyId);
    if (own !== undefined) {
        return succeed(own.version, false, state.head.version);
    }
    const objectNames = [state.head.objectName, findBase(state)].filter(name => name !== "");
    return objectNames.length === 0
        ? receiveFiles(state, [], [])
        : { kind: ApplyActionKind.GetObjects, names: [...new Set(objectNames)] };
};

/** Name of the base's object; "" for a base without files. */
const findBase = ({ edit, head, history }: ApplyState): string => {
    const { baseVersion } = edit;
    if (baseVersion === undefined || baseVersion === 0 || baseVersion === head.version) {
        return baseVersion === head.version ? head.objectName : "";
    }
    const entry = history.find(({ version }) => version === baseVersion);
    if (entry === undefined) {
        throw PomeloturnError.create(ResultCode.BaseVersionUnknown, `base ${baseVersion}, in force is version ${head.version}`);
    }
    return entry.objectName;
};

const receiveObjects = (state: ApplyState, bodies: readonly (string | undefined)[]): ApplyAction => {
    const [headBody, baseBody] = [bodies[0], bodies.at(-1)];
    if (headBody === undefined || baseBody === undefined) {
        return fail(ResultCode.StoreUnavailable, "the object of a version is missing");
    }
    const headFiles = openBundle(state.head.objectName, headBody).files;
    const baseObject = findBase(state);
    return receiveFiles(state, headFiles, baseObject === "" ? [] : openBundle(baseObject, baseBody).files);
};

const receiveFiles = (state: ApplyState, headFiles: readonly ConfigFile[], statedBaseFiles: readonly ConfigFile[]): ApplyAction => {
    const { edit, applyId, head, history } = state;
    const isBaseMissing = edit.baseVersion === undefined && head.version > 0;
    const baseFiles = isBaseMissing ? headFiles : statedBaseFiles;
    const plan = planApply({ edit, applyId, head, history, headFiles, baseFiles });
    if (plan.kind === ApplyPlanKind.Unchanged) {
        return succeed(plan.version, true);
    }
    if (isBaseMissing) {
        return fail(
            ResultCode.BaseVersionUnknown,
            `in force is version ${head.version}; state the version that the files were edited from`,
        );
    }
    if (plan.kind === ApplyPlanKind.Refuse) {
        return fail(plan.code, plan.detail);
    }
    state.plan = plan;
    return { kind: ApplyActionKind.PutObject, name: plan.head.objectName, body: plan.body };
};

const transact = ({ applyId, raceCount, rows, plan }: ApplyState): ApplyAction => ({
    kind: ApplyActionKind.Transact,
    operationId: `${applyId}/${raceCount}`,
    writes: [
        { key: HEAD_KEY, expectedVersion: rows[0]!.version, value: JSON.stringify(plan!.head) },
        { key: HISTORY_KEY, expectedVersion: rows[1]!.version, value: JSON.stringify(plan!.history) },
    ],
});

const receiveResult = (state: ApplyState, { isApplied, rows }: TableResult): ApplyAction => {
    if (isApplied) {
        return succeed(parseHead(rows[0]!).version, false);
    }
    state.raceCount++;
    return state.raceCount > RACE_LIMIT
        ? fail(ResultCode.ConfigurationConflict, `${RACE_LIMIT} edits of others came first; nothing was applied`)
        : READ_ROWS;
};

const receiveFailure = (state: ApplyState): ApplyAction => {
    state.failureCount++;
    if (state.failureCount < FAILURE_LIMIT) {
        return state.lastAction;
    }
    const isUnknown = state.lastAction.kind === ApplyActionKind.Transact;
    return isUnknown
        ? fail(ResultCode.StoreUnavailable, "it is not known whether the edit stands; apply it again from the same base, which is safe")
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
