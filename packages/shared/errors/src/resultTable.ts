import { Effect, ResultCode } from "./ResultCode.ts";

/** Description of an error result, as reported to callers. */
export interface ResultDescription {
    readonly name: string;
    /** SQLSTATE of the ErrorResponse. */
    readonly sqlState: string;
    readonly effect: Effect;
    readonly message: string;
}

type Row = readonly [code: ResultCode, name: string, sqlState: string, effect: Effect, message: string];

const rows: readonly Row[] = [
    [ResultCode.AuthenticationFailed, "AuthenticationFailed", "28P01", Effect.NotRun, "password authentication failed"],
    [ResultCode.UnknownService, "UnknownService", "3D000", Effect.NotRun, "there is no such service"],
    [ResultCode.MalformedStartup, "MalformedStartup", "08P01", Effect.NotRun, "the start-up packet is malformed"],
    [ResultCode.MalformedMessage, "MalformedMessage", "08P01", Effect.NotRun, "the message is malformed"],
    [ResultCode.MessageTooLarge, "MessageTooLarge", "54000", Effect.NotRun, "the message is larger than the limit"],
    [ResultCode.UnsupportedStatement, "UnsupportedStatement", "0A000", Effect.NotRun, "the statement cannot be proxied"],
    [ResultCode.UnknownRank, "UnknownRank", "22023", Effect.NotRun, "the service has no such rank"],
    [ResultCode.UnknownReadKind, "UnknownReadKind", "22023", Effect.NotRun, "the service has no such kind of read"],
    [ResultCode.TokenMalformed, "TokenMalformed", "22023", Effect.NotRun, "the session token is malformed"],
    [ResultCode.TokenForged, "TokenForged", "28000", Effect.NotRun, "the session token was not issued by this service"],
    [ResultCode.TokenOtherService, "TokenOtherService", "28000", Effect.NotRun, "the session token is of another service"],
    [ResultCode.MalformedComment, "MalformedComment", "22023", Effect.NotRun, "the attributes in the statement's comment are malformed"],
    [ResultCode.UnknownPreparedStatement, "UnknownPreparedStatement", "26000", Effect.NotRun, "there is no such prepared statement"],
    [
        ResultCode.UnsupportedSessionSetting,
        "UnsupportedSessionSetting",
        "0A000",
        Effect.NotRun,
        "the setting cannot be changed for a session",
    ],
    [ResultCode.RequestIdReused, "RequestIdReused", "22023", Effect.NotRun, "the request id was used for another statement"],
    [ResultCode.StartupTimedOut, "StartupTimedOut", "08P01", Effect.NotRun, "the start-up took too long"],
    [ResultCode.WriteLost, "WriteLost", "40P02", Effect.NotRun, "a write of this session was lost when the primary was replaced"],
    [ResultCode.NoInstance, "NoInstance", "57P03", Effect.NotRun, "no instance can serve the request"],
    [ResultCode.ReplicaBehind, "ReplicaBehind", "57P03", Effect.NotRun, "the replica has not reached the required position"],
    [ResultCode.NotHolder, "NotHolder", "57P03", Effect.NotRun, "the VM does not hold the instance"],
    [ResultCode.LeaseLapsedBeforeSend, "LeaseLapsedBeforeSend", "57P03", Effect.NotRun, "the lease lapsed before the request was sent"],
    [ResultCode.TermChanged, "TermChanged", "57P03", Effect.NotRun, "the group has moved to another term"],
    [ResultCode.TransactionLost, "TransactionLost", "40001", Effect.NotRun, "the transaction was lost and rolled back"],
    [ResultCode.SchemaMissing, "SchemaMissing", "42P01", Effect.NotRun, "the database lacks the proxy's tables or refuses to write them"],
    [ResultCode.FreshnessLapsed, "FreshnessLapsed", "57P03", Effect.NotRun, "the age of the data could not be proved in time"],
    [ResultCode.NotPrimary, "NotPrimary", "57P03", Effect.NotRun, "the instance is not the primary"],
    [ResultCode.WrongInstance, "WrongInstance", "57P03", Effect.NotRun, "another instance answers at the address"],
    [ResultCode.DeadlineBeforeRun, "DeadlineBeforeRun", "57014", Effect.NotRun, "the request cannot meet its deadline"],
    [ResultCode.QueueFull, "QueueFull", "53300", Effect.NotRun, "too many requests of this rank are waiting"],
    [ResultCode.ConnectionsExhausted, "ConnectionsExhausted", "53300", Effect.NotRun, "no connection to the instance is free"],
    [ResultCode.LinkBudgetExhausted, "LinkBudgetExhausted", "53400", Effect.NotRun, "the approved traffic between the regions is used up"],
    [ResultCode.Draining, "Draining", "57P01", Effect.NotRun, "the proxy is shutting down"],
    [ResultCode.RetryBudgetExhausted, "RetryBudgetExhausted", "57P03", Effect.NotRun, "too many retries are under way"],
    [ResultCode.TooManyCallers, "TooManyCallers", "53300", Effect.NotRun, "too many callers are connected"],
    [ResultCode.CanceledBeforeRun, "CanceledBeforeRun", "57014", Effect.NotRun, "the request was canceled while it waited"],
    [ResultCode.AllowanceExhausted, "AllowanceExhausted", "53400", Effect.NotRun, "the allowance of the caller's team is used up"],
    [ResultCode.OutcomeUnknown, "OutcomeUnknown", "40003", Effect.OutcomeUnknown, "it is not known whether the request ran"],
    [ResultCode.LeaseLapsed, "LeaseLapsed", "40003", Effect.OutcomeUnknown, "the lease lapsed before the answer could be acknowledged"],
    [ResultCode.BackendLost, "BackendLost", "40003", Effect.OutcomeUnknown, "the connection to the backend server was lost"],
    [ResultCode.PeerLost, "PeerLost", "40003", Effect.OutcomeUnknown, "the connection to the holder was lost"],
    [ResultCode.Canceled, "Canceled", "57014", Effect.OutcomeUnknown, "the request was canceled by the caller"],
    [
        ResultCode.DeadlineWhileRunning,
        "DeadlineWhileRunning",
        "40003",
        Effect.OutcomeUnknown,
        "the deadline passed while the request was running",
    ],
    [ResultCode.BackendUnreachable, "BackendUnreachable", "57P03", Effect.NotRun, "the backend server cannot be reached"],
    [ResultCode.AlreadyRan, "AlreadyRan", "23505", Effect.Ran, "the request was committed before under this request id"],
    [ResultCode.PeerUnreachable, "PeerUnreachable", "57P03", Effect.NotRun, "the holder cannot be reached"],
    [ResultCode.StatementFailed, "StatementFailed", "XX000", Effect.Ran, "the statement failed at the instance"],
    [ResultCode.SettingsUnreadable, "SettingsUnreadable", "F0000", Effect.NotRun, "the settings file cannot be read"],
    [ResultCode.SettingsInvalid, "SettingsInvalid", "F0000", Effect.NotRun, "the settings file is invalid"],
    [ResultCode.ConfigurationInvalid, "ConfigurationInvalid", "F0000", Effect.NotRun, "the configuration is invalid"],
    [ResultCode.ConfigurationConflict, "ConfigurationConflict", "F0000", Effect.NotRun, "the file was changed by another operator"],
    [ResultCode.ApprovedAmountExceeded, "ApprovedAmountExceeded", "F0000", Effect.NotRun, "the change passes what finance approved"],
    [ResultCode.FloorStranded, "FloorStranded", "F0000", Effect.NotRun, "the floors of a service's ranks add up to more than one"],
    [ResultCode.StoreUnavailable, "StoreUnavailable", "F0000", Effect.OutcomeUnknown, "the platform's store did not answer"],
    [ResultCode.OwnerConflict, "OwnerConflict", "F0000", Effect.NotRun, "the file sets a value that another owner's file owns"],
    [ResultCode.UnknownOperatorCommand, "UnknownOperatorCommand", "F0000", Effect.NotRun, "the process has no such command"],
    [ResultCode.OperatorCommandFailed, "OperatorCommandFailed", "F0000", Effect.OutcomeUnknown, "the operator's command failed"],
    [ResultCode.OperatorUnreachable, "OperatorUnreachable", "F0000", Effect.OutcomeUnknown, "the process did not answer the operator"],
    [
        ResultCode.BaseVersionUnknown,
        "BaseVersionUnknown",
        "F0000",
        Effect.NotRun,
        "the version that the files were edited from is not stated or not kept",
    ],
    [
        ResultCode.StoreUnavailableBeforeRun,
        "StoreUnavailableBeforeRun",
        "F0000",
        Effect.NotRun,
        "the platform's store did not answer before anything was changed",
    ],
];

/** Descriptions of all error results, by number. */
export const resultTable: ReadonlyMap<ResultCode, ResultDescription> = new Map(
    rows.map(([code, name, sqlState, effect, message]) => [code, { name, sqlState, effect, message }]),
);
