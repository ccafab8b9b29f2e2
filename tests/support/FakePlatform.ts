import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { TableCopy } from "@pomeloturn/standin/platform/PlatformState";
import type { ListedVm, ObjectStore, TableResult, TableRow, TableService, TableWrite, VmList } from "@pomeloturn/types/Platform";

/** In-memory implementation of the platform. `platformContract.test.ts` runs the same tests against it and the stand-in. */
export class FakePlatform implements TableService, ObjectStore, VmList {
    isDown = false;
    /** Number of following transactions that take effect but fail with `StoreUnavailable`. */
    lostAnswers = 0;
    vms: readonly ListedVm[] = [];
    private era = 1;
    private rows = new Map<string, TableRow>();
    private operations = new Map<string, TableResult>();
    private readonly objects = new Map<string, string>();

    private constructor() {}

    static create(): FakePlatform {
        return new FakePlatform();
    }

    async read(keys: readonly string[]): Promise<readonly TableRow[]> {
        await this.throwIfDown();
        return this.readRows(keys);
    }

    async transact(operationId: string, writes: readonly TableWrite[]): Promise<TableResult> {
        await this.throwIfDown();
        const result = this.applyTransaction(operationId, writes);
        if (this.lostAnswers > 0) {
            this.lostAnswers--;
            throw PomeloturnError.create(ResultCode.StoreUnavailable);
        }
        return result;
    }

    async put(name: string, body: string): Promise<void> {
        await this.throwIfDown();
        this.putObject(name, body);
    }

    async get(name: string): Promise<string | undefined> {
        await this.throwIfDown();
        return this.objects.get(name);
    }

    async list(): Promise<readonly ListedVm[]> {
        await this.throwIfDown();
        return this.vms;
    }

    /** Does the same as `read`, without faults. */
    readRows(keys: readonly string[]): readonly TableRow[] {
        return keys.map(key => ({ ...this.rows.get(key) ?? { key, version: 0, value: "" }, era: this.era }));
    }

    /** Does the same as `transact`, without faults. */
    applyTransaction(operationId: string, writes: readonly TableWrite[]): TableResult {
        const earlierResult = this.operations.get(operationId);
        if (earlierResult !== undefined) {
            return earlierResult;
        }
        const keys = writes.map(({ key }) => key);
        const isApplied = this.readRows(keys).every(({ version, era }, index) => {
            const { expectedVersion, expectedEra = era } = writes[index]!;
            return version === expectedVersion && era === expectedEra;
        });
        if (isApplied) {
            writes.forEach(({ key, expectedVersion, value }) => this.rows.set(key, { key, version: expectedVersion + 1, value }));
        }
        const result = { isApplied, rows: this.readRows(keys) };
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

    /** Does the same as `put`, without faults. */
    putObject(name: string, body: string): void {
        this.objects.set(name, body);
    }

    /** Does the same as `get`, without faults. */
    getObject(name: string): string | undefined {
        return this.objects.get(name);
    }

    private async throwIfDown(): Promise<void> {
        await Promise.resolve();
        if (this.isDown) {
            throw PomeloturnError.create(ResultCode.StoreUnavailable);
        }
    }
}
