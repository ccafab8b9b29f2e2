const STARTUP_LINE = "STARTUP writes\r\n";

export const STARTUP = Buffer.from(STARTUP_LINE);

/** Fills a line up to a number of bytes, with its terminator unless it is left unfinished. */
const fillLine = (start: string, bytes: number, end: string): string => start + "x".repeat(bytes - start.length - end.length) + end;

/** A statement of the given size. It is a read, or a setting that the process answers itself. */
export const createStatement = (bytes: number, text = "READ "): string => fillLine(`QUERY q ${text}`, bytes, "\r\n");

/** Start-up message and one statement of the given size. */
export const createSession = (bytes: number): Buffer => Buffer.from(STARTUP_LINE + createStatement(bytes));

/** Start-up message with a database name that fills it up to the given size. */
export const createLargeStartup = (bytes: number): Buffer => Buffer.from(fillLine("STARTUP ", bytes, "\r\n"));

/** Start-up message and a statement without its end. */
export const createUnfinishedSession = (bytes: number): Buffer => Buffer.from(STARTUP_LINE + fillLine("QUERY q READ ", bytes, ""));

/** First line of a connection without its end. */
export const createUnfinishedStartup = (bytes: number): Buffer => Buffer.from(fillLine("STARTUP ", bytes, ""));

/** Start-up message and many statements, none of which waits for an answer. */
export const createPipeline = (statement: string, count: number): Buffer => Buffer.from(STARTUP_LINE + statement.repeat(count));
