/** A log line of a request, or of an event that may have affected it. */
export interface TraceLine {
    /** Time of day in Unix milliseconds. */
    readonly atMs: number;
    readonly process: string;
    readonly event: string;
    readonly details: Readonly<Record<string, unknown>>;
}

/** Time before a line of a request from which events of the same service, or of no service, are included. */
const CONTEXT_WINDOW_MS = 3_000;

interface LoggedLine {
    readonly 0?: unknown;
    readonly 1?: unknown;
    readonly _meta?: { readonly name?: string; readonly date?: string; };
}

/** Parses a line of a process's log. Ignores a prefix before the JSON, as log collectors add it. @returns undefined for other lines */
export const parseLogLine = (text: string): TraceLine | undefined => {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const logged = JSON.parse(text.slice(start)) as LoggedLine;
        const details = typeof logged[1] === "object" && logged[1] !== null ? logged[1] as Record<string, unknown> : {};
        const atMs = Date.parse(logged._meta?.date ?? "");
        return Number.isNaN(atMs) ? undefined : { atMs, process: logged._meta?.name ?? "", event: String(logged[0]), details };
    }
    catch {
        // Lines of other programs may not be JSON.
        return undefined;
    }
};

/**
 * Selects the lines of a request from all processes in order of time, with the events of its service shortly before.
 * Lines of other requests are left out.
 */
export const traceRequest = (lines: readonly TraceLine[], requestId: string): TraceLine[] => {
    const requestLines = lines.filter(({ details }) => details["requestId"] === requestId);
    const isContext = ({ atMs, details }: TraceLine): boolean =>
        details["requestId"] === undefined
        && requestLines.some(line =>
            atMs <= line.atMs && atMs >= line.atMs - CONTEXT_WINDOW_MS
            && (details["service"] ?? line.details["service"]) === line.details["service"]
        );
    return lines.filter(line => requestLines.includes(line) || isContext(line)).sort((a, b) => a.atMs - b.atMs);
};
