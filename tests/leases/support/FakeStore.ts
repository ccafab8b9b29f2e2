import type { TableResult, TableRow, TableWrite } from "@pomeloturn/types/Platform";

/** A simulated table service whose faults are set by tests. */
export class FakeStore {
    isDown = false;
    /** Upper bound of the random delay that is added to each call before it takes effect. */
    maximumDelayMs = 0;
    /** Number of coming writes that take effect but whose replies are lost. */
    lostReplyCount = 0;
    writeCount = 0;
    /** Number of restores, from 1 on. */
    private era = 1;
    private readonly rows = new Map<string, TableRow>();
    private readonly resultsByOperationId = new Map<string, TableResult>();
    /** Applied writes with the rows that they replaced, oldest first. */
    private readonly applied: { readonly atMs: number; readonly operationId: string; readonly before: TableRow; }[] = [];

    read(key: string): TableRow {
        return { ...this.rows.get(key) ?? { key, version: 0, value: "" }, era: this.era };
    }

    transact(operationId: string, { key, expectedVersion, expectedEra, value }: TableWrite, nowMs: number): TableResult {
        this.writeCount++;
        const previousResult = this.resultsByOperationId.get(operationId);
        if (previousResult !== undefined) {
            return previousResult;
        }
        const isApplied = this.read(key).version === expectedVersion && (expectedEra ?? this.era) === this.era;
        if (isApplied) {
            this.applied.push({ atMs: nowMs, operationId, before: this.read(key) });
            this.rows.set(key, { key, version: expectedVersion + 1, value });
        }
        const result = { isApplied, rows: [this.read(key)] };
        this.resultsByOperationId.set(operationId, result);
        return result;
    }

    /** Takes back all writes since `atMs`, as a restore from a copy of that time does. */
    restore(atMs: number): void {
        this.era++;
        while ((this.applied.at(-1)?.atMs ?? -Infinity) > atMs) {
            const { operationId, before } = this.applied.pop()!;
            this.rows.set(before.key, before);
            this.resultsByOperationId.delete(operationId);
        }
    }
}
