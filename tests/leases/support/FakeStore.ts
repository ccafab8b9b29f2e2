import type { TableResult, TableRow, TableWrite } from "@pomeloturn/types/Platform";

/** The table service in virtual time; its faults are set by tests. */
export class FakeStore {
    isDown = false;
    /** Added to each call before it takes effect, at random up to this. */
    delayMs = 0;
    /** Number of changes that take effect but whose answers are lost. */
    lostAnswers = 0;
    writes = 0;
    private readonly rows = new Map<string, TableRow>();
    private readonly operations = new Map<string, TableResult>();

    read(key: string): TableRow {
        return this.rows.get(key) ?? { key, version: 0, value: "" };
    }

    transact(operationId: string, { key, expectedVersion, value }: TableWrite): TableResult {
        this.writes++;
        const known = this.operations.get(operationId);
        if (known !== undefined) {
            return known;
        }
        const isApplied = this.read(key).version === expectedVersion;
        if (isApplied) {
            this.rows.set(key, { key, version: expectedVersion + 1, value });
        }
        const result = { isApplied, rows: [this.read(key)] };
        this.operations.set(operationId, result);
        return result;
    }
}
