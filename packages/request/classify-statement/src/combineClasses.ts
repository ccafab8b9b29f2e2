import { StatementClass } from "@pomeloturn/types/StatementClass";

const CONTROL_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([
    StatementClass.Begin,
    StatementClass.BeginReadOnly,
    StatementClass.Commit,
    StatementClass.Rollback,
    StatementClass.SessionSetting,
    StatementClass.Mixed,
]);

/** Returns the class of a text from the classes of its statements; a text without statements is a read. */
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
