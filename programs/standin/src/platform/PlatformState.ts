import type { ListedVm, TableResult, TableRow, TableWrite } from "@pomeloturn/types/Platform";

/** Faults of the platform that a test can set. */
export interface PlatformFaults {
    /** Whether requests get no response. */
    isDown: boolean;
    /** Added to the time of each response. */
    delayMs: number;
    /** Number of further transactions that take effect but whose response is lost. */
    lostAnswers: number;
    /** Names of VMs that cannot reach the platform. */
    cutVms: readonly string[];
}

/** State of the table service at one moment. */
export interface TableCopy {
    readonly rows: ReadonlyMap<string, TableRow>;
    readonly operations: ReadonlyMap<string, TableResult>;
}

/** Table service, object store and VM list of the simulated platform, in memory. */
export class PlatformState {
    readonly faults: PlatformFaults = { isDown: false, delayMs: 0, lostAnswers: 0, cutVms: [] };
    vms: readonly ListedVm[] = [];
    readCount = 0;
    writeCount = 0;
    /** Era of the table service; one more than its restores. */
    private era = 1;
    private rows = new Map<string, TableRow>();
    private operations = new Map<string, TableResult>();
    private readonly objects = new Map<string, string>();

    private constructor() {}

    static create(): PlatformState {
        return new PlatformState();
    }

    read(keys: readonly string[]): TableRow[] {
        this.readCount++;
        return keys.map(key => ({ ...this.rows.get(key) ?? { key, version: 0, value: "" }, era: this.era }));
    }

    /** Applies all writes or none. A repeated operation id returns its first result. */
    transact(operationId: string, writes: readonly TableWrite[]): TableResult {
        this.writeCount++;
        const firstResult = this.operations.get(operationId);
        if (firstResult !== undefined) {
            return firstResult;
        }
        const isApplied = writes.every(({ key, expectedVersion, expectedEra }) =>
            (this.rows.get(key)?.version ?? 0) === expectedVersion && (expectedEra ?? this.era) === this.era
        );
        if (isApplied) {
            for (const { key, expectedVersion, value } of writes) {
                this.rows.set(key, { key, version: expectedVersion + 1, value });
            }
        }
        const result = { isApplied, rows: this.read(writes.map(({ key }) => key)) };
        this.operations.set(operationId, result);
        return result;
    }

    copyTable(): TableCopy {
        return { rows: new Map(this.rows), operations: new Map(this.operations) };
    }

    /** Takes back all transactions since the copy. */
    restoreTable({ rows, operations }: TableCopy): void {
        this.rows = new Map(rows);
        this.operations = new Map(operations);
        this.era++;
    }

    putObject(name: string, body: string): void {
        this.objects.set(name, body);
    }

    getObject(name: string): string | undefined {
        return this.objects.get(name);
    }
}
