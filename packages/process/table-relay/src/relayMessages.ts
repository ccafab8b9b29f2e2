import type { StoreRow } from "@pomeloturn/types/StoreRow";

/** Request for a table or its changes. `after` is undefined for a read of the whole table. */
export interface RelayRequest {
    readonly id: number;
    readonly table: string;
    /** Version after which changes are asked for. */
    readonly after: number | undefined;
    /** Era of `after`; undefined from a VM of a version without eras. */
    readonly era: number | undefined;
    readonly waitMs: number;
}

/** Constants for `RelayReply.status`. */
export const RelayStatus = {
    Rows: "rows",
    Gone: "gone",
    /** This VM does not relay, or its tables are not proved recent. */
    Unavailable: "unavailable",
} as const;
export type RelayStatus = typeof RelayStatus[keyof typeof RelayStatus];

export interface RelayReply {
    readonly id: number;
    readonly status: RelayStatus;
    readonly rows: readonly StoreRow[];
    /** Point up to which the rows are complete; its era is undefined from a VM of a version without eras. */
    readonly era: number | undefined;
    readonly version: number;
}

const isCount = (value: unknown): value is number => typeof value === "number" && Number.isFinite(value) && value >= 0;

const isOptionalCount = (value: unknown): value is number | undefined => value === undefined || isCount(value);

const isRow = (value: unknown): value is StoreRow => {
    const row = value as Partial<StoreRow> | null;
    return typeof row === "object" && row !== null && typeof row.key === "string" && typeof row.value === "string"
        && isCount(row.version) && typeof row.isDeleted === "boolean";
};

/** Decodes a line as a request. @returns undefined if it is none */
export const parseRequest = (line: string): RelayRequest | undefined => {
    const value = parseObject(line);
    const { id, table, after, era, waitMs } = value ?? {};
    const isValid = isCount(id) && typeof table === "string" && isCount(waitMs) && isOptionalCount(after) && isOptionalCount(era);
    return isValid ? { id, table, after, era, waitMs } : undefined;
};

/** Decodes a line as a reply. @returns undefined if it is none */
export const parseReply = (line: string): RelayReply | undefined => {
    const { id, status, rows, era, version } = parseObject(line) ?? {};
    const isStatus = Object.values<unknown>(RelayStatus).includes(status);
    const isValid = isCount(id) && isStatus && isOptionalCount(era) && isCount(version) && Array.isArray(rows) && rows.every(isRow);
    return isValid ? { id, status: status as RelayStatus, rows: rows, era, version } : undefined;
};

const parseObject = (line: string): Readonly<Record<string, unknown>> | undefined => {
    try {
        const value: unknown = JSON.parse(line);
        return typeof value === "object" && value !== null ? value as Record<string, unknown> : undefined;
    }
    catch {
        // The caller logs the frame and closes the connection.
        return undefined;
    }
};

/** Encodes a request or reply as one line. */
export const formatMessage = (message: RelayRequest | RelayReply): string => `${JSON.stringify(message)}\n`;
