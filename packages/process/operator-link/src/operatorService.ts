import type { ServiceDefinition } from "@grpc/grpc-js";

/** An operator command with its arguments by name. */
export interface OperatorRequest {
    readonly command: string;
    readonly arguments: Readonly<Record<string, string>>;
}

/** The result of a command, or the result code and message of an error. */
export type OperatorAnswer =
    | { readonly result: unknown; }
    | { readonly error: { readonly code: number; readonly message: string; }; };

const serialize = (value: OperatorRequest | OperatorAnswer): Buffer => Buffer.from(JSON.stringify(value));
const deserializeRequest = (bytes: Buffer): OperatorRequest => JSON.parse(bytes.toString()) as OperatorRequest;
const deserializeAnswer = (bytes: Buffer): OperatorAnswer => JSON.parse(bytes.toString()) as OperatorAnswer;

/** gRPC service with one unary call, whose messages are JSON. */
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
