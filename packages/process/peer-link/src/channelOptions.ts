import type { ChannelOptions } from "@grpc/grpc-js";

const MAXIMUM_BATCH_BYTES = 512 * 1024 * 1024;
const KEEPALIVE_INTERVAL_MS = 1_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const INITIAL_RECONNECT_DELAY_MS = 50;
const MAXIMUM_RECONNECT_DELAY_MS = 500;

/** gRPC options of both ends: allow large batches, and detect a peer that stops answering within a few seconds. */
export const CHANNEL_OPTIONS: ChannelOptions = {
    "grpc.max_receive_message_length": MAXIMUM_BATCH_BYTES,
    "grpc.max_send_message_length": MAXIMUM_BATCH_BYTES,
    "grpc.use_local_subchannel_pool": 1,
    "grpc.keepalive_time_ms": KEEPALIVE_INTERVAL_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.keepalive_permit_without_calls": 1,
    "grpc.initial_reconnect_backoff_ms": INITIAL_RECONNECT_DELAY_MS,
    "grpc.min_reconnect_backoff_ms": INITIAL_RECONNECT_DELAY_MS,
    "grpc.max_reconnect_backoff_ms": MAXIMUM_RECONNECT_DELAY_MS,
};
