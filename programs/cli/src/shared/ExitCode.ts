/** Constants for the exit code of a command. */
export const ExitCode = {
    Ok: 0,
    /** The command line was wrong, or the command failed in a way that has no number. */
    Failed: 1,
    /** Refused: nothing was changed. */
    NotRun: 2,
    /** It is not known whether the command took effect. */
    OutcomeUnknown: 3,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
