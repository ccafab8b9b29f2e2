/**
 * Options of `node:net` servers and connections that detect a peer that is gone without closing its connection: probes
 * begin after this idle time, one a second, and the tenth without an answer closes the connection.
 */
export const KEEP_ALIVE_OPTIONS = { keepAlive: true, keepAliveInitialDelay: 10_000 } as const;
