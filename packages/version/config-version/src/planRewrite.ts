import type { TableRow, TableWrite } from "@pomeloturn/types/Platform";
import { parseHead, parseHistory } from "./ConfigHead.ts";

/**
 * Plans how a table service that was restored from an older copy gets the newer configuration back that a VM knows.
 *
 * @param known head and history row of the active version, as they were read
 * @param stored the same two rows as they stand in the table service
 * @returns undefined if the stored head is not older, or is not one that the known history succeeds: an edit was applied since
 * @throws PomeloturnError with `ConfigurationInvalid` when a row is not valid JSON
 */
export const planRewrite = (known: readonly TableRow[], stored: readonly TableRow[]): readonly TableWrite[] | undefined => {
    const [knownHead, head] = [parseHead(known[0]!), parseHead(stored[0]!)];
    const isSucceeded = head.version === 0 || parseHistory(known[1]!).some(({ objectName }) => objectName === head.objectName);
    if (head.version >= knownHead.version || !isSucceeded) {
        return undefined;
    }
    return stored.map(({ key, version, era }, index) => ({
        key,
        expectedVersion: version,
        expectedEra: era,
        value: known[index]!.value,
    }));
};
