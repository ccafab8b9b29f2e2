/** A log line about a request, or about what the process believed around it. */
export interface TraceLine {
    /** Time of day in Unix milliseconds. */
    readonly atMs: number;
    readonly process: string;
    readonly event: string;
    readonly details: Readonly<Record<string, unknown>>;
}

/** What a request's lines are told with: events of the same service up to this long before. */
const CONTEXT_MS = 3_000;

interface LoggedLine {
    readonly 0?: unknown;
    readonly 1?: unknown;
    readonly _meta?: { readonly name?: string; readonly date?: string; };
}

/** Reads a line of a process's log. Text before the JSON, as collectors add it, is passed over. */
export const parseLine = (text: string): TraceLine | undefined => {
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
        // A line that is no JSON was not written by a process of pomeloturn.
        return undefined;
    }
};

/** The lines of a request in order of time, with those about its service shortly before, over all processes. */
export const traceRequest = (lines: readonly TraceLine[], requestId: string): TraceLine[] => {
    const own = lines.filter(({ details }) => details["requestId"] === requestId);
    const isContext = ({ atMs, details }: TraceLine): boolean =>
        details["requestId"] === undefined
        && own.some(line =>
            atMs <= line.atMs && atMs >= line.atMs - CONTEXT_MS
            && (details["service"] ?? line.details["service"]) === line.details["service"]
        );
    return lines.filter(line => own.includes(line) || isContext(line)).sort((a, b) => a.atMs - b.atMs);
};
