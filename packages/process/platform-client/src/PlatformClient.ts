import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ListedVm, ObjectStore, TableResult, TableRow, TableService, TableWrite, VmList } from "@pomeloturn/types/Platform";

/** Address of the platform and time limit of its requests. */
export interface PlatformClientOptions {
    /** Base URL, "http://host:port". */
    readonly url: string;
    /** Name of this VM, sent with each request. */
    readonly vm: string;
    readonly timeoutMs: number;
}

/** Calls the platform's table service, object store and VM list over HTTP. A write that failed may still have taken effect. */
export class PlatformClient implements TableService, ObjectStore, VmList {
    private constructor(private readonly options: PlatformClientOptions) {}

    static create(options: PlatformClientOptions): PlatformClient {
        return new PlatformClient(options);
    }

    read(keys: readonly string[]): Promise<readonly TableRow[]> {
        return this.call("POST", "/table/read", JSON.stringify({ keys }));
    }

    transact(operationId: string, writes: readonly TableWrite[]): Promise<TableResult> {
        return this.call("POST", "/table/transact", JSON.stringify({ operationId, writes }));
    }

    async put(name: string, body: string): Promise<void> {
        await this.call("PUT", `/objects?name=${encodeURIComponent(name)}`, body);
    }

    async get(name: string): Promise<string | undefined> {
        const result = await this.call<{ readonly body?: string; }>("GET", `/objects?name=${encodeURIComponent(name)}`);
        return result.body;
    }

    list(): Promise<readonly ListedVm[]> {
        return this.call("GET", "/vms");
    }

    /** @throws PomeloturnError with `StoreUnavailable` when the request fails, times out or has an error status */
    private async call<Result>(method: string, path: string, body?: string): Promise<Result> {
        const { url, vm, timeoutMs } = this.options;
        try {
            const init: RequestInit = { method, headers: { "x-vm": vm }, signal: AbortSignal.timeout(timeoutMs) };
            const response = await fetch(url + path, body === undefined ? init : { ...init, body });
            if (!response.ok) {
                throw new Error(`the platform responded with HTTP status ${response.status}`);
            }
            return await response.json() as Result;
        }
        catch (error) {
            throw PomeloturnError.create(ResultCode.StoreUnavailable, `${method} ${path}`, error as Error);
        }
    }
}
