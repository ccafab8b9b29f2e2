import type { ServiceDefinition } from "@grpc/grpc-js";
import { pomeloturn } from "@pomeloturn/control-messages/generated/control";

const { ControlBatch } = pomeloturn.control;

const serialize = (batch: pomeloturn.control.IControlBatch): Buffer => Buffer.from(ControlBatch.encode(batch).finish());
const deserialize = (bytes: Buffer): pomeloturn.control.ControlBatch => ControlBatch.decode(bytes);

export const CONTROL_PATH = "/pomeloturn.control.Control/Exchange";

/** gRPC service with one bidirectional stream of batches, between two controllers or between a proxy and its controller. */
export const controlService = {
    exchange: {
        path: CONTROL_PATH,
        requestStream: true,
        responseStream: true,
        requestSerialize: serialize,
        requestDeserialize: deserialize,
        responseSerialize: serialize,
        responseDeserialize: deserialize,
    },
} satisfies ServiceDefinition;
