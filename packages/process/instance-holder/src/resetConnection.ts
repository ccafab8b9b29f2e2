import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { serialize } from "pg-protocol";

const DISCARD_ALL = serialize.query("DISCARD ALL");

/** Resets the session state of a connection. @param onDone called with false when the connection must be closed */
export const resetConnection = (connection: BackendConnection, timeoutMs: number, onDone: (isClean: boolean) => void): void => {
    let isFailed = false;
    const timer = setTimeout(() => connection.close(), timeoutMs);
    const finish = (isClean: boolean): void => {
        clearTimeout(timer);
        connection.isTainted = !isClean;
        onDone(isClean);
    };
    connection.start(DISCARD_ALL, 1, {
        onMessage: message => {
            isFailed ||= message[0] === BackendType.ErrorResponse;
        },
        onDone: () => finish(!isFailed),
        onLost: () => finish(false),
    });
};
