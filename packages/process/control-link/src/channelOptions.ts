const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

/** gRPC options of both ends: keepalive pings detect a dead peer, and a restarted one is reconnected within a second. */
export const CHANNEL_OPTIONS = {
    "grpc.max_receive_message_length": MAXIMUM_MESSAGE_BYTES,
    "grpc.max_send_message_length": MAXIMUM_MESSAGE_BYTES,
    "grpc.use_local_subchannel_pool": 1,
    "grpc.keepalive_time_ms": 10_000,
    "grpc.keepalive_timeout_ms": 2_000,
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
} as const;
