import type { ServiceDefinition } from "@grpc/grpc-js";

/** A command of an operator. */
export interface OperatorRequest {
    readonly command: string;
    readonly arguments: Readonly<Record<string, string>>;
}

/** The answer: a result, or the number and the text of an error. */
export type OperatorAnswer =
    | { readonly result: unknown; }
    | { readonly error: { readonly code: number; readonly message: string; }; };

const serialize = (value: OperatorRequest | OperatorAnswer): Buffer => Buffer.from(JSON.stringify(value));
const deserializeRequest = (bytes: Buffer): OperatorRequest => JSON.parse(bytes.toString()) as OperatorRequest;
const deserializeAnswer = (bytes: Buffer): OperatorAnswer => JSON.parse(bytes.toString()) as OperatorAnswer;

/** The unary call by which operators reach a process; its messages are JSON. */
export const operatorService = {
    call: {
        path: "/pomeloturn.operator.Operator/Call",
        requestStream: false,
        responseStream: false,
        requestSerialize: serialize,
        requestDeserialize: deserializeRequest,
        responseSerialize: serialize,
        responseDeserialize: deserializeAnswer,
    },
} satisfies ServiceDefinition;
