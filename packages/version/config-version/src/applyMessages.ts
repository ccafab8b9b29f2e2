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

/** Final result of an apply. */
export type ApplyOutcome =
    | {
        readonly isAccepted: true;
        /** Version that contains the edit. */
        readonly version: number;
        /** Whether the active version already had these files. */
        readonly isUnchanged: boolean;
        /** Active version; higher than `version` when other edits were applied since. */
        readonly headVersion: number;
    }
    | { readonly isAccepted: false; readonly code: ResultCode; readonly detail: string; };

/** Next operation that the caller of `stepApply` has to carry out. */
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
    /** The platform did not answer, so that a transaction may or may not have taken effect. */
    Failed: "failed",
} as const;

/** Result of an `ApplyAction`, or the start of the apply. */
export type ApplyEvent =
    | { readonly kind: typeof ApplyEventKind.Start; }
    | { readonly kind: typeof ApplyEventKind.Rows; readonly rows: readonly TableRow[]; }
    | { readonly kind: typeof ApplyEventKind.Objects; readonly bodies: readonly (string | undefined)[]; }
    | { readonly kind: typeof ApplyEventKind.ObjectPut; }
    | { readonly kind: typeof ApplyEventKind.Transacted; readonly result: TableResult; }
    | { readonly kind: typeof ApplyEventKind.Failed; };
