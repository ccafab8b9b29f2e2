import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { OperatorClient } from "@pomeloturn/operator-link/OperatorClient";

/** Operator addresses, "host:port" by VM. */
export type Addresses = Readonly<Record<string, string>>;

/** A command of an operator with its arguments. */
export interface ProcessCall {
    readonly command: string;
    readonly arguments?: Readonly<Record<string, string>>;
}

/** Calls the process of one VM. @throws PomeloturnError or OperatorAnswerError as `OperatorClient.call` */
export const callVm = async <Result>(addresses: Addresses, vm: string, call: ProcessCall, timeoutMs: number): Promise<Result> => {
    if (!Object.hasOwn(addresses, vm)) {
        throw PomeloturnError.create(ResultCode.SettingsInvalid, `the settings have no operator address of ${vm}`);
    }
    const client = OperatorClient.create(addresses[vm]!, timeoutMs);
    try {
        return await client.call<Result>(call.command, call.arguments);
    }
    finally {
        client.close();
    }
};

/** Calls one process after another until one is reached. @throws the last one's error when none is */
export const callAny = async <Result>(addresses: Addresses, call: ProcessCall, timeoutMs: number): Promise<Result> => {
    let lastError: Error = PomeloturnError.create(ResultCode.SettingsInvalid, "the settings have no operator address");
    for (const vm of Object.keys(addresses)) {
        try {
            return await callVm<Result>(addresses, vm, call, timeoutMs);
        }
        catch (error) {
            if (!(error instanceof PomeloturnError)) {
                throw error;
            }
            lastError = error;
        }
    }
    throw lastError;
};

/** What one VM's process answered; exactly one of result and error is set. */
export interface VmAnswer<Result> {
    readonly vm: string;
    readonly result: Result | undefined;
    readonly error: string | undefined;
}

/** Calls the processes of all VMs at once. */
export const callAll = <Result>(addresses: Addresses, call: ProcessCall, timeoutMs: number): Promise<VmAnswer<Result>[]> =>
    Promise.all(
        Object.keys(addresses).map(async vm => {
            try {
                return { vm, result: await callVm<Result>(addresses, vm, call, timeoutMs), error: undefined };
            }
            catch (error) {
                return { vm, result: undefined, error: (error as Error).message };
            }
        }),
    );
