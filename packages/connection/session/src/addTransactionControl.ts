import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { serialize } from "pg-protocol";
import type { HiddenTags, OpenTransaction, RequestUnit } from "./SessionState.ts";

/** Messages of a unit together with the transaction control that the session adds. */
export interface UnitWithTransactionControl {
    readonly messages: readonly Buffer[];
    readonly hiddenTags: HiddenTags;
}

/** Statement classes that run in an implicit transaction when their unit ends in a Flush. */
const FLUSHED_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([StatementClass.Read, StatementClass.Write]);

/**
 * Adds the BEGIN or COMMIT of an implicit transaction to a unit. Portals and row locks must outlive a Flush but not
 * the Sync after it, so a unit that ends in a Flush outside a transaction opens one, which the unit of the next Sync
 * commits.
 *
 * @throws PomeloturnError with `UnsupportedStatement` for transaction control between a Flush and its Sync
 */
export const addTransactionControl = (unit: RequestUnit, transaction: OpenTransaction | undefined): UnitWithTransactionControl => {
    const isImplicit = transaction?.isImplicit === true;
    if (isImplicit && !FLUSHED_CLASSES.has(unit.statementClass)) {
        throw PomeloturnError.create(ResultCode.UnsupportedStatement, "transaction control is not supported between a Flush and its Sync");
    }
    if (opensImplicitTransaction(unit) && transaction === undefined) {
        return { messages: [serialize.query("BEGIN"), ...unit.messages], hiddenTags: { isFirstHidden: true, isLastHidden: false } };
    }
    if (isImplicit && !unit.isFlush) {
        return { messages: [...unit.messages, serialize.query("COMMIT")], hiddenTags: { isFirstHidden: false, isLastHidden: true } };
    }
    return { messages: unit.messages, hiddenTags: { isFirstHidden: false, isLastHidden: false } };
};

/** Whether a unit opens an implicit transaction if it runs outside a transaction. */
export const opensImplicitTransaction = (unit: RequestUnit): boolean => unit.isFlush && FLUSHED_CLASSES.has(unit.statementClass);
