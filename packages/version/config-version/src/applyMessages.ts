import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { TableResult, TableRow, TableWrite } from "@pomeloturn/types/Platform";

/** Constants for `ApplyAction.kind`. */
export const ApplyActionKind = {
    ReadRows: "readRows",
    GetObjects: "getObjects",
    PutObject: "putObject",
    Transact: "transact",
    Done: "done",
} as const;

/** How an apply ended. */
export type ApplyOutcome =
    | {
        readonly isAccepted: true;
        /** Version that the edit made. */
        readonly version: number;
        /** Whether the files were in force before. */
        readonly isUnchanged: boolean;
        /** Version in force; higher than `version` when others applied since. */
        readonly headVersion: number;
    }
    | { readonly isAccepted: false; readonly code: ResultCode; readonly detail: string; };

/** What the shell of an apply is to do next. */
export type ApplyAction =
    | { readonly kind: typeof ApplyActionKind.ReadRows; readonly keys: readonly string[]; }
    | { readonly kind: typeof ApplyActionKind.GetObjects; readonly names: readonly string[]; }
    | { readonly kind: typeof ApplyActionKind.PutObject; readonly name: string; readonly body: string; }
    | { readonly kind: typeof ApplyActionKind.Transact; readonly operationId: string; readonly writes: readonly TableWrite[]; }
    | { readonly kind: typeof ApplyActionKind.Done; readonly outcome: ApplyOutcome; };

/** Constants for `ApplyEvent.kind`. */
export const ApplyEventKind = {
    Start: "start",
    Rows: "rows",
    Objects: "objects",
    ObjectPut: "objectPut",
    Transacted: "transacted",
    /** The platform did not answer; a change may have taken effect. */
    Failed: "failed",
} as const;

/** What happened. */
export type ApplyEvent =
    | { readonly kind: typeof ApplyEventKind.Start; }
    | { readonly kind: typeof ApplyEventKind.Rows; readonly rows: readonly TableRow[]; }
    | { readonly kind: typeof ApplyEventKind.Objects; readonly bodies: readonly (string | undefined)[]; }
    | { readonly kind: typeof ApplyEventKind.ObjectPut; }
    | { readonly kind: typeof ApplyEventKind.Transacted; readonly result: TableResult; }
    | { readonly kind: typeof ApplyEventKind.Failed; };
