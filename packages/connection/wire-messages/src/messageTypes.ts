/** Message type bytes of the PostgreSQL protocol, version 3. */

/** Types of the messages that a caller sends. */
export const FrontendType = {
    Query: 0x51,
    Parse: 0x50,
    Bind: 0x42,
    Execute: 0x45,
    FunctionCall: 0x46,
    Flush: 0x48,
    Close: 0x43,
    Describe: 0x44,
    Sync: 0x53,
    Terminate: 0x58,
    CopyData: 0x64,
    CopyDone: 0x63,
    CopyFail: 0x66,
    Password: 0x70,
} as const;

/** Types of the messages that a backend server sends. */
export const BackendType = {
    Authentication: 0x52,
    BackendKeyData: 0x4b,
    BindComplete: 0x32,
    CloseComplete: 0x33,
    CommandComplete: 0x43,
    CopyInResponse: 0x47,
    CopyOutResponse: 0x48,
    DataRow: 0x44,
    EmptyQueryResponse: 0x49,
    ErrorResponse: 0x45,
    NoData: 0x6e,
    NoticeResponse: 0x4e,
    NotificationResponse: 0x41,
    ParameterDescription: 0x74,
    ParameterStatus: 0x53,
    ParseComplete: 0x31,
    PortalSuspended: 0x73,
    ReadyForQuery: 0x5a,
    RowDescription: 0x54,
} as const;

/** Size of the type byte and the length field before a message body. */
export const HEADER_SIZE_BYTES = 5;
