import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { serialize } from "pg-protocol";

const DISCARD_ALL = serialize.query("DISCARD ALL");
const SYNC = serialize.sync();

/** Resets the session state of a connection. @param onDone called with false when the connection must be closed */
export const resetConnection = (connection: BackendConnection, timeoutMs: number, onDone: (isClean: boolean) => void): void =>
    sendCommand(connection, DISCARD_ALL, timeoutMs, isClean => {
        connection.isTainted = !isClean;
        onDone(isClean);
    });

/** Checks that the backend server answers on an idle connection. @param onDone called with false when the connection must be closed */
export const verifyConnection = (connection: BackendConnection, timeoutMs: number, onDone: (isAlive: boolean) => void): void =>
    sendCommand(connection, SYNC, timeoutMs, onDone);

const sendCommand = (connection: BackendConnection, command: Buffer, timeoutMs: number, onDone: (isSuccess: boolean) => void): void => {
    let isFailed = false;
    const timer = setTimeout(() => connection.close(), timeoutMs);
    const finish = (isSuccess: boolean): void => {
        clearTimeout(timer);
        onDone(isSuccess);
    };
    connection.start(command, 1, {
        onMessage: message => {
            isFailed ||= message[0] === BackendType.ErrorResponse;
        },
        onDone: () => finish(!isFailed),
        onLost: () => finish(false),
    });
};
