import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readFirstColumn } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";

const ROLE_QUERY = serialize.query("SELECT pg_is_in_recovery()");
const REPLAYED_POSITION_QUERY = serialize.query("SELECT pg_last_wal_replay_lsn()");
const WRITTEN_POSITION_QUERY = serialize.query("SELECT pg_current_wal_insert_lsn()");
const STEP_COUNT = 2;

/** Role and position of an instance. */
export interface InstanceRole {
    readonly isReplica: boolean;
    /** Written position of a primary, replayed position of a replica, in bytes; undefined when the instance returned none. */
    readonly position: number | undefined;
}

/**
 * Queries an instance for its role and position in one round trip. Closes the connection after `timeoutMs`.
 *
 * @param isPrimary the expected role; selects which position is queried
 * @throws PomeloturnError when the connection is lost, the query times out or the role is missing from the answer
 */
export const queryRole = (connection: BackendConnection, isPrimary: boolean, timeoutMs: number): Promise<InstanceRole> =>
    new Promise((resolve, reject) => {
        const values: (string | undefined)[] = [];
        const timer = setTimeout(() => connection.close(), timeoutMs);
        const messages = Buffer.concat([ROLE_QUERY, isPrimary ? WRITTEN_POSITION_QUERY : REPLAYED_POSITION_QUERY]);
        connection.start(messages, STEP_COUNT, {
            onMessage: (message, step) => {
                if (message[0] === BackendType.DataRow) {
                    values[step] = readFirstColumn(message);
                }
            },
            onDone: () => {
                clearTimeout(timer);
                const [role, position] = values;
                if (role === undefined) {
                    reject(
                        PomeloturnError.create(ResultCode.BackendUnreachable, "the instance did not return its role (pg_is_in_recovery)"),
                    );
                    return;
                }
                resolve({ isReplica: role === "t", position: position === undefined ? undefined : parseLogSequenceNumber(position) });
            },
            onLost: error => {
                clearTimeout(timer);
                reject(error);
            },
        });
    });
