import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { LeaseMessage } from "@pomeloturn/group-lease/LeaseMessage";

/** Constants for `GroupAction.kind`. */
export const GroupActionKind = {
    /** Sends a message to a VM, possibly to this one. */
    Send: "send",
    ReadRow: "readRow",
    WriteRow: "writeRow",
    Probe: "probe",
    /** Makes a replica stop replicating, then probes it. */
    Freeze: "freeze",
    Follow: "follow",
    Promote: "promote",
    /** Reports the result of a planned promotion. */
    FinishPromotion: "finishPromotion",
    /** The leadership of the group changed. */
    LeadershipChanged: "leadershipChanged",
} as const;

export type GroupAction =
    | { readonly kind: typeof GroupActionKind.Send; readonly vm: string; readonly message: LeaseMessage; }
    | { readonly kind: typeof GroupActionKind.ReadRow; }
    | {
        readonly kind: typeof GroupActionKind.WriteRow;
        readonly operationId: string;
        readonly expectedVersion: number;
        /** Era of the table service in which the row may be written; undefined for any. */
        readonly expectedEra: number | undefined;
        readonly value: string;
    }
    | { readonly kind: typeof GroupActionKind.Probe; readonly instance: string; }
    | { readonly kind: typeof GroupActionKind.Freeze; readonly instance: string; }
    | { readonly kind: typeof GroupActionKind.Follow; readonly instance: string; readonly upstream: string; }
    | { readonly kind: typeof GroupActionKind.Promote; readonly instance: string; }
    | { readonly kind: typeof GroupActionKind.FinishPromotion; readonly code: ResultCode; }
    | { readonly kind: typeof GroupActionKind.LeadershipChanged; };
