import type { ServiceDefinition } from "@grpc/grpc-js";
import { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";

const { PeerBatch } = pomeloturn.peer;

const serialize = (batch: pomeloturn.peer.IPeerBatch): Buffer => Buffer.from(PeerBatch.encode(batch).finish());
const deserialize = (bytes: Buffer): pomeloturn.peer.PeerBatch => PeerBatch.decode(bytes);

export const EXCHANGE_PATH = "/pomeloturn.peer.Peer/Exchange";

/** gRPC service with one bidirectional stream of batches between two proxies. */
export const peerService = {
    exchange: {
        path: EXCHANGE_PATH,
        requestStream: true,
        responseStream: true,
        requestSerialize: serialize,
        requestDeserialize: deserialize,
        responseSerialize: serialize,
        responseDeserialize: deserialize,
    },
} satisfies ServiceDefinition;
