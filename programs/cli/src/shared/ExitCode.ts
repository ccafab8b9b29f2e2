/** Exit codes of the commands. */
export const ExitCode = {
    Ok: 0,
    /** The command line is not valid, or the command failed without a result code. */
    Failed: 1,
    /** The command was refused and changed nothing. */
    NotRun: 2,
    /** The command may or may not have taken effect. */
    OutcomeUnknown: 3,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
