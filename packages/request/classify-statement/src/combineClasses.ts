import { StatementClass } from "@pomeloturn/types/StatementClass";

const CONTROL_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([
    StatementClass.Begin,
    StatementClass.BeginReadOnly,
    StatementClass.Commit,
    StatementClass.Rollback,
    StatementClass.SessionSetting,
    StatementClass.Mixed,
]);

/** The class of several statements that run together; of none at all it is a read. */
export const combineClasses = (classes: ReadonlySet<StatementClass>): StatementClass => {
    if (classes.has(StatementClass.Unsupported)) {
        return StatementClass.Unsupported;
    }
    const [first = StatementClass.Read] = classes;
    if (classes.size <= 1) {
        return first;
    }
    return [...classes].some(each => CONTROL_CLASSES.has(each)) ? StatementClass.Mixed : StatementClass.Write;
};
