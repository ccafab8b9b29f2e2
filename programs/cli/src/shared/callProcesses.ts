import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { OperatorClient } from "@pomeloturn/operator-link/OperatorClient";

/** Addresses at which processes accept operator commands, "host:port" by VM. */
export type OperatorAddresses = Readonly<Record<string, string>>;

/** An operator command with its arguments, as the processes accept it. */
export interface ProcessCall {
    readonly command: string;
    readonly arguments?: Readonly<Record<string, string>>;
}

/**
 * Calls the process of one VM.
 *
 * @throws PomeloturnError with `SettingsInvalid` if the VM has no address, otherwise the errors of `OperatorClient.call`
 */
export const callVm = async <Result>(addresses: OperatorAddresses, vm: string, call: ProcessCall, timeoutMs: number): Promise<Result> => {
    if (!Object.hasOwn(addresses, vm)) {
        throw PomeloturnError.create(ResultCode.SettingsInvalid, `the settings contain no operator address for VM ${vm}`);
    }
    const client = OperatorClient.create(addresses[vm]!, timeoutMs);
    try {
        return await client.call<Result>(call.command, call.arguments);
    }
    finally {
        client.close();
    }
};

/** Calls the processes in order until one can be reached. @throws the error of the last call if none can */
export const callFirstReachable = async <Result>(addresses: OperatorAddresses, call: ProcessCall, timeoutMs: number): Promise<Result> => {
    let lastError: Error = PomeloturnError.create(ResultCode.SettingsInvalid, "the settings contain no operator address");
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

/** Answer of one VM's process; either the result or the error message is set. */
export interface VmAnswer<Result> {
    readonly vm: string;
    readonly result: Result | undefined;
    readonly error: string | undefined;
}

/** Calls the processes of all VMs concurrently and returns one answer per VM, also for failed calls. */
export const callAll = <Result>(addresses: OperatorAddresses, call: ProcessCall, timeoutMs: number): Promise<VmAnswer<Result>[]> =>
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
