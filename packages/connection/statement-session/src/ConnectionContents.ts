import { CommandKind, type InstanceCommand } from "@pomeloturn/types/InstanceCommand";

/** Session values and prepared statements that an instance connection holds. */
export interface ConnectionContents {
    readonly values: Map<string, string>;
    /** Names of the prepared statements on the connection. */
    readonly prepared: Set<string>;
}

/** A prepared statement, known to instances by its kind and shape so that one serves every session. */
export interface PreparedStatement {
    readonly isWrite: boolean;
    readonly shape: string;
}

export const createContents = (): ConnectionContents => ({ values: new Map(), prepared: new Set() });

/** Characters of a shape that a prepared statement's name may keep. */
const NAME_CHARACTERS = /^[A-Za-z0-9_]{1,64}$/;

const nameOf = ({ isWrite, shape }: PreparedStatement): string =>
    `${isWrite ? "w" : "r"}_${NAME_CHARACTERS.test(shape) ? shape : Buffer.from(shape, "latin1").toString("hex")}`;

/** Commands that bring a connection to a session's state, and the name under which it knows the prepared statement. */
export interface Alignment {
    readonly commands: readonly InstanceCommand[];
    /** Empty when no prepared statement was asked for. */
    readonly preparedName: string;
}

/**
 * Plans what a connection needs before a statement of a session runs on it, and records it as done:
 * the commands go out in the same write as the statement, and a connection on which one fails is closed.
 *
 * @param values the session's values; @param prepared the statement to execute, if any
 */
export const alignConnection = (
    contents: ConnectionContents,
    values: ReadonlyMap<string, string>,
    prepared: PreparedStatement | undefined,
): Alignment => {
    const commands: InstanceCommand[] = [];
    if ([...contents.values.keys()].some(name => !values.has(name))) {
        commands.push({ kind: CommandKind.Reset });
        contents.values.clear();
        contents.prepared.clear();
    }
    for (const [name, value] of values) {
        if (contents.values.get(name) !== value) {
            commands.push({ kind: CommandKind.Set, name, value });
            contents.values.set(name, value);
        }
    }
    const preparedName = prepared === undefined ? "" : nameOf(prepared);
    if (prepared !== undefined && !contents.prepared.has(preparedName)) {
        commands.push({ kind: CommandKind.Prepare, name: preparedName, ...prepared });
        contents.prepared.add(preparedName);
    }
    return { commands, preparedName };
};
