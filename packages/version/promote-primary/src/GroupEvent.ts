import type { VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import type { LeaseMessage } from "@pomeloturn/group-lease/LeaseMessage";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";
import type { TableResult, TableRow } from "@pomeloturn/types/Platform";

/** Constants for `GroupEvent.kind`. */
export const GroupEventKind = {
    Tick: "tick",
    Message: "message",
    RowRead: "rowRead",
    RowWritten: "rowWritten",
    Probed: "probed",
    Frozen: "frozen",
    Promoted: "promoted",
    InstanceReported: "instanceReported",
    PromotionRequested: "promotionRequested",
    LeadershipTransferRequested: "leadershipTransferRequested",
} as const;

/** An event of one group on one VM. An undefined `row`, `result` or `probe` means that the call failed but may have taken effect. */
export type GroupEvent =
    | { readonly kind: typeof GroupEventKind.Tick; }
    | { readonly kind: typeof GroupEventKind.Message; readonly from: VmIncarnation; readonly message: LeaseMessage; }
    | { readonly kind: typeof GroupEventKind.RowRead; readonly row: TableRow | undefined; }
    | { readonly kind: typeof GroupEventKind.RowWritten; readonly operationId: string; readonly result: TableResult | undefined; }
    | {
        readonly kind: typeof GroupEventKind.Probed;
        readonly instance: string;
        readonly sentAtMs: number;
        readonly probe: InstanceProbe | undefined;
    }
    | {
        readonly kind: typeof GroupEventKind.Frozen;
        readonly instance: string;
        readonly sentAtMs: number;
        readonly probe: InstanceProbe | undefined;
    }
    | { readonly kind: typeof GroupEventKind.Promoted; readonly instance: string; }
    | { readonly kind: typeof GroupEventKind.InstanceReported; readonly instance: string; readonly isReachable: boolean; }
    | { readonly kind: typeof GroupEventKind.PromotionRequested; readonly instance: string; }
    | { readonly kind: typeof GroupEventKind.LeadershipTransferRequested; };
