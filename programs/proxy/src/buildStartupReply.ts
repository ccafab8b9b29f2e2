import { buildBackendKeyData, buildParameterStatus, buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";

const PARAMETER_STATUSES: readonly (readonly [name: string, value: string])[] = [
    ["server_version", "15.0 (pomeloturn)"],
    ["server_encoding", "UTF8"],
    ["client_encoding", "UTF8"],
    ["DateStyle", "ISO, MDY"],
    ["integer_datetimes", "on"],
    ["standard_conforming_strings", "on"],
    ["TimeZone", "UTC"],
];

/** Builds the messages that follow a successful authentication: the parameter statuses, the cancel key and a ReadyForQuery. */
export const buildStartupReply = (processId: number, secretKey: number): Buffer =>
    Buffer.concat([
        ...PARAMETER_STATUSES.map(([name, value]) => buildParameterStatus(name, value)),
        buildBackendKeyData(processId, secretKey),
        buildReadyForQuery("I"),
    ]);
