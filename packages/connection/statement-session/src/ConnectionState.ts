import { CommandKind, type InstanceCommand } from "@pomeloturn/types/InstanceCommand";

/** Session settings and prepared statements that exist on a connection to an instance. */
export interface ConnectionState {
    readonly settings: Map<string, string>;
    /** Names of the prepared statements on the connection. */
    readonly preparedNames: Set<string>;
}

/** A prepared statement. Its name on an instance derives from these fields, so that sessions share it. */
export interface PreparedStatement {
    readonly isWrite: boolean;
    readonly shape: string;
}

export const createConnectionState = (): ConnectionState => ({ settings: new Map(), preparedNames: new Set() });

/** Shapes that are used in a prepared statement's name as they are; others are hex-encoded behind a prefix of their own. */
const PLAIN_NAME_PATTERN = /^[A-Za-z0-9_]{1,64}$/;

const getPreparedName = ({ isWrite, shape }: PreparedStatement): string =>
    (isWrite ? "w" : "r") + (PLAIN_NAME_PATTERN.test(shape) ? `_${shape}` : `x_${Buffer.from(shape, "latin1").toString("hex")}`);

/** Commands that bring a connection into the state of a session. */
export interface SynchronizationPlan {
    readonly commands: readonly InstanceCommand[];
    /** Name of the prepared statement on the connection; empty if none was requested. */
    readonly preparedName: string;
}

/**
 * Determines the commands that must precede a session's statement on a connection, and updates `connectionState` as if
 * they had succeeded. The caller has to send them in the same write as the statement, and to close the connection
 * if one of them fails.
 *
 * @param connectionState state of the connection, updated in place
 * @param settings the session's settings
 * @param prepared the prepared statement to execute, if any
 */
export const synchronizeConnection = (
    connectionState: ConnectionState,
    settings: ReadonlyMap<string, string>,
    prepared: PreparedStatement | undefined,
): SynchronizationPlan => {
    const commands: InstanceCommand[] = [];
    if ([...connectionState.settings.keys()].some(name => !settings.has(name))) {
        commands.push({ kind: CommandKind.Reset });
        connectionState.settings.clear();
        connectionState.preparedNames.clear();
    }
    for (const [name, value] of settings) {
        if (connectionState.settings.get(name) !== value) {
            commands.push({ kind: CommandKind.Set, name, value });
            connectionState.settings.set(name, value);
        }
    }
    const preparedName = prepared === undefined ? "" : getPreparedName(prepared);
    if (prepared !== undefined && !connectionState.preparedNames.has(preparedName)) {
        commands.push({ kind: CommandKind.Prepare, name: preparedName, ...prepared });
        connectionState.preparedNames.add(preparedName);
    }
    return { commands, preparedName };
};
