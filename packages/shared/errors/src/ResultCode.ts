/** Numbered results. `docs/RESULT-CODES.md` shows the same table and a test holds it against this one. */

/** Constants for what is certain about a request that got an error. */
export const Effect = {
    NotRun: "not run",
    Ran: "ran",
    OutcomeUnknown: "outcome unknown",
} as const;
export type Effect = typeof Effect[keyof typeof Effect];

/** Result numbers. 1xx: start-up and bad input; 2xx: routing; 3xx: limits; 4xx: failures while running; 5xx: configuration and settings. */
export const ResultCode = {
    Ok: 0,
    AuthenticationFailed: 101,
    UnknownService: 102,
    MalformedStartup: 103,
    MalformedMessage: 104,
    MessageTooLarge: 105,
    UnsupportedStatement: 106,
    UnknownRank: 107,
    UnknownReadKind: 108,
    TokenMalformed: 109,
    TokenForged: 110,
    TokenOtherService: 111,
    MalformedComment: 112,
    UnknownPreparedStatement: 113,
    UnsupportedSessionSetting: 114,
    WriteLost: 201,
    NoInstance: 202,
    ReplicaBehind: 203,
    NotHolder: 204,
    LeaseLapsedBeforeSend: 205,
    TermChanged: 206,
    TransactionLost: 207,
    DeadlineBeforeRun: 301,
    QueueFull: 302,
    ConnectionsExhausted: 303,
    LinkBudgetExhausted: 304,
    Draining: 305,
    RetryBudgetExhausted: 306,
    TooManyCallers: 307,
    CanceledBeforeRun: 308,
    OutcomeUnknown: 401,
    LeaseLapsed: 402,
    BackendLost: 403,
    PeerLost: 404,
    Canceled: 405,
    DeadlineWhileRunning: 406,
    BackendUnreachable: 407,
    SettingsUnreadable: 501,
    SettingsInvalid: 502,
    ConfigurationInvalid: 503,
    ConfigurationConflict: 504,
    ApprovedAmountExceeded: 505,
    FloorStranded: 506,
    StoreUnavailable: 507,
    OwnerConflict: 508,
} as const;
export type ResultCode = typeof ResultCode[keyof typeof ResultCode];
