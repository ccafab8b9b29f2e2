import type { GroupRow } from "./GroupRow.ts";

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

const isRow = (value: unknown): value is GroupRow =>
    isRecord(value) && typeof value["term"] === "number" && typeof value["primary"] === "string"
    && isRecord(value["holder"]) && Array.isArray(value["witnesses"]) && Array.isArray(value["history"])
    && typeof value["operationId"] === "string";

/** Serializes a row for the table service. */
export const formatGroupRow = (row: GroupRow): string => JSON.stringify(row);

/** Parses a row of the table service. @returns undefined when the value is not a group row */
export const parseGroupRow = (value: string): GroupRow | undefined => {
    try {
        const parsed: unknown = JSON.parse(value);
        return isRow(parsed) ? parsed : undefined;
    }
    catch {
        return undefined;
    }
};
