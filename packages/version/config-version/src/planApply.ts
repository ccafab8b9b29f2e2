import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type ConfigFile, type ConfigProblem, Owner, type ParsedFile } from "@pomeloturn/merge-config/ConfigFile";
import { formatProblem, mergeConfig } from "@pomeloturn/merge-config/mergeConfig";
import { parseConfigFile } from "@pomeloturn/merge-config/parseConfigFile";
import { hashText, serializeBundle } from "./ConfigBundle.ts";
import type { ConfigHead, FileVersion, HistoryEntry } from "./ConfigHead.ts";
import { diffFile, formatChange, mapTextsByName } from "./diffFiles.ts";

/** Configuration folder that an operator wants to activate. */
export interface ConfigEdit {
    readonly operator: string;
    /** Wall-clock time on the operator's machine, in milliseconds since the Unix epoch. */
    readonly appliedAtMs: number;
    /** Version that the folder was edited from; undefined when the operator did not name it. */
    readonly baseVersion: number | undefined;
    readonly files: readonly ConfigFile[];
}

/** An edit, the active version with its files, and the files of the edit's base version. */
export interface ApplyInputs {
    readonly edit: ConfigEdit;
    readonly applyId: string;
    readonly head: ConfigHead;
    readonly history: readonly HistoryEntry[];
    readonly headFiles: readonly ConfigFile[];
    readonly baseFiles: readonly ConfigFile[];
}

/** Constants for `ApplyPlan.kind`. */
export const ApplyPlanKind = {
    Write: "write",
    Unchanged: "unchanged",
    Refuse: "refuse",
} as const;

/** Result of planning an edit. */
export type ApplyPlan =
    | {
        readonly kind: typeof ApplyPlanKind.Write;
        readonly head: ConfigHead;
        readonly history: readonly HistoryEntry[];
        readonly body: string;
    }
    | { readonly kind: typeof ApplyPlanKind.Unchanged; readonly version: number; }
    | { readonly kind: typeof ApplyPlanKind.Refuse; readonly code: ResultCode; readonly detail: string; };

/** Number of recent versions that the history keeps as possible bases of edits. */
export const HISTORY_LENGTH = 50;

/**
 * Merges an edit with the active version, file by file. A file that the edit did not change relative to its base keeps
 * the text of the active version. The edit is refused when it and another operator changed the same file differently;
 * the refusal shows the other change.
 */
export const planApply = (inputs: ApplyInputs): ApplyPlan => {
    const { edit, head, headFiles } = inputs;
    const { files, conflicts } = mergeEdit(inputs);
    if (conflicts.length > 0) {
        return refuse(ResultCode.ConfigurationConflict, conflicts.join("; "));
    }
    const headTexts = mapTextsByName(headFiles);
    const texts = mapTextsByName(files);
    const changedFiles = [...new Set([...headTexts.keys(), ...texts.keys()])].filter(name => headTexts.get(name) !== texts.get(name))
        .sort();
    if (changedFiles.length === 0) {
        return { kind: ApplyPlanKind.Unchanged, version: head.version };
    }
    const problems = [...checkOwners(head, files), ...mergeConfig(files).problems];
    if (problems.length > 0) {
        return refuse(problems[0]!.code, problems.map(formatProblem).join("; "));
    }
    return planWrite(edit, files, changedFiles, inputs);
};

const refuse = (code: ResultCode, detail: string): ApplyPlan => ({ kind: ApplyPlanKind.Refuse, code, detail });

const mergeEdit = (
    { edit, history, headFiles, baseFiles }: ApplyInputs,
): { readonly files: ConfigFile[]; readonly conflicts: string[]; } => {
    const [base, edited, active] = [baseFiles, edit.files, headFiles].map(mapTextsByName) as [Texts, Texts, Texts];
    const names = [...new Set([...base.keys(), ...edited.keys(), ...active.keys()])].sort();
    const files: ConfigFile[] = [];
    const conflicts: string[] = [];
    for (const name of names) {
        const isConflict = edited.get(name) !== base.get(name) && active.get(name) !== base.get(name)
            && edited.get(name) !== active.get(name);
        if (isConflict) {
            conflicts.push(describeConflict(name, base.get(name), active.get(name), history));
        }
        const text = edited.get(name) === base.get(name) ? active.get(name) : edited.get(name);
        if (text !== undefined) {
            files.push({ name, text });
        }
    }
    return { files, conflicts };
};

type Texts = ReadonlyMap<string, string>;

const describeConflict = (
    name: string,
    before: string | undefined,
    after: string | undefined,
    history: readonly HistoryEntry[],
): string => {
    const entry = history.find(({ changedFiles }) => changedFiles.includes(name));
    const author = entry === undefined ? "another edit" : `${entry.operator} in version ${entry.version}`;
    const changes = diffFile(name, before, after).map(formatChange).join(", ") || "formatting only";
    return `${name} was changed by ${author}: ${changes}`;
};

/** Checks that no file changes its owner, so that one owner cannot take over values that the other one approved. */
const checkOwners = (head: ConfigHead, files: readonly ConfigFile[]): ConfigProblem[] =>
    files.map(parseConfigFile).filter((each): each is ParsedFile => "patch" in each).flatMap(({ name, owner }) => {
        const activeFile = head.files.find(file => file.name === name);
        const message = `the owner of the file is ${activeFile?.owner} and cannot be changed to ${owner}`;
        return activeFile === undefined || activeFile.owner === owner
            ? []
            : [{ code: ResultCode.OwnerConflict, file: name, path: "/owner", rule: "owner", message }];
    });

const planWrite = (edit: ConfigEdit, files: readonly ConfigFile[], changedFiles: readonly string[], inputs: ApplyInputs): ApplyPlan => {
    const version = inputs.head.version + 1;
    const { objectName, body } = serializeBundle({ version, files });
    const { operator, appliedAtMs } = edit;
    const entry: HistoryEntry = { version, objectName, applyId: inputs.applyId, operator, appliedAtMs, changedFiles };
    return {
        kind: ApplyPlanKind.Write,
        head: { version, objectName, files: files.map(file => toFileVersion(file, version, inputs.head)) },
        history: [entry, ...inputs.history].slice(0, HISTORY_LENGTH),
        body,
    };
};

const toFileVersion = (file: ConfigFile, version: number, head: ConfigHead): FileVersion => {
    const hash = hashText(file.text);
    const activeFile = head.files.find(({ name }) => name === file.name);
    const parsed = parseConfigFile(file);
    const owner = "patch" in parsed ? parsed.owner : Owner.Engineering;
    return activeFile?.hash === hash ? activeFile : { name: file.name, owner, hash, version };
};
