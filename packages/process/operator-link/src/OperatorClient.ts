import { Client, credentials } from "@grpc/grpc-js";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type OperatorAnswer, type OperatorRequest, operatorService } from "./operatorService.ts";

const { path, requestSerialize, responseDeserialize } = operatorService.call;

/** An error that a process answered, with the number that it stated. */
export class OperatorAnswerError extends Error {
    private constructor(readonly code: number, message: string) {
        super(message);
    }

    static create(code: number, message: string): OperatorAnswerError {
        return new OperatorAnswerError(code, message);
    }
}

/** Sends operators' commands to one process. */
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
     * Calls a command. After a timeout it is not known whether the command took effect.
     *
     * @throws PomeloturnError with `OperatorUnreachable`, or OperatorAnswerError with what the process answered
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
