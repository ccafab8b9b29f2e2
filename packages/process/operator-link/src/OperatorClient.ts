import { Client, credentials } from "@grpc/grpc-js";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type OperatorAnswer, type OperatorRequest, operatorService } from "./operatorService.ts";

const { path, requestSerialize, responseDeserialize } = operatorService.call;

/** An error that a process returned, with its result code. */
export class OperatorAnswerError extends Error {
    private constructor(readonly code: number, message: string) {
        super(message);
    }

    static create(code: number, message: string): OperatorAnswerError {
        return new OperatorAnswerError(code, message);
    }
}

/** Sends operator commands to one process. */
export class OperatorClient {
    private readonly client: Client;

    private constructor(private readonly address: string, private readonly timeoutMs: number) {
        this.client = new Client(address, credentials.createInsecure());
    }

    /** @param address "host:port" of the process */
    static create(address: string, timeoutMs: number): OperatorClient {
        return new OperatorClient(address, timeoutMs);
    }

    /**
     * Runs a command and returns its result. After a timeout, it is unknown whether the command took effect.
     *
     * @throws PomeloturnError with `OperatorUnreachable` when the process does not answer in time
     * @throws OperatorAnswerError with the error that the process returned
     */
    async call<Result>(command: string, args: Readonly<Record<string, string>> = {}): Promise<Result> {
        const answer = await this.request({ command, arguments: args });
        if ("error" in answer) {
            throw OperatorAnswerError.create(answer.error.code, answer.error.message);
        }
        return answer.result as Result;
    }

    close(): void {
        this.client.close();
    }

    private request(request: OperatorRequest): Promise<OperatorAnswer> {
        const deadline = Date.now() + this.timeoutMs;
        return new Promise((resolve, reject) => {
            this.client.makeUnaryRequest(path, requestSerialize, responseDeserialize, request, { deadline }, (error, answer) => {
                if (error !== null || answer === undefined) {
                    reject(PomeloturnError.create(ResultCode.OperatorUnreachable, this.address, error ?? undefined));
                }
                else {
                    resolve(answer);
                }
            });
        });
    }
}
