import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { serialize } from "pg-protocol";
import type { HiddenTags, OpenTransaction, RequestUnit } from "./SessionState.ts";

/** A unit's messages with the transaction control that the session adds. */
export interface EnclosedUnit {
    readonly messages: readonly Buffer[];
    readonly hiddenTags: HiddenTags;
}

/** Classes that a Flush may end and that run in a transaction of the session's own. */
const FLUSHED_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([StatementClass.Read, StatementClass.Write]);

/**
 * Portals and row locks must outlive a Flush but not the Sync after it. A unit that ends in a Flush outside a
 * transaction therefore opens one, and the unit of the next Sync commits it.
 *
 * @throws PomeloturnError with `UnsupportedStatement` for transaction control between a Flush and its Sync
 */
export const enclose = (unit: RequestUnit, transaction: OpenTransaction | undefined): EnclosedUnit => {
    const isImplicit = transaction?.isImplicit === true;
    if (isImplicit && !FLUSHED_CLASSES.has(unit.statementClass)) {
        throw PomeloturnError.create(ResultCode.UnsupportedStatement, "transaction control after a Flush");
    }
    if (opensImplicit(unit) && transaction === undefined) {
        return { messages: [serialize.query("BEGIN"), ...unit.messages], hiddenTags: { isFirstHidden: true, isLastHidden: false } };
    }
    if (isImplicit && !unit.isFlush) {
        return { messages: [...unit.messages, serialize.query("COMMIT")], hiddenTags: { isFirstHidden: false, isLastHidden: true } };
    }
    return { messages: unit.messages, hiddenTags: { isFirstHidden: false, isLastHidden: false } };
};

/** Whether a unit outside a transaction opens one of the session's own. */
export const opensImplicit = (unit: RequestUnit): boolean => unit.isFlush && FLUSHED_CLASSES.has(unit.statementClass);
