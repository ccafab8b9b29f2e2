/** A former holder may serve its open transactions while the new one is at work. */
const HOLDERS_AT_ONCE = 2;
/** Each holder probes the instance on a connection of its own. */
const PROBE_CONNECTIONS = 1;

/**
 * Connections that one holder's pool may have. A holder never takes more than half of an instance's limit,
 * so that two holders stay within it without knowing of each other.
 *
 * @param connectionLimit connections that all proxies together may open to the instance
 */
export const shareConnections = (connectionLimit: number): number =>
    Math.max(1, Math.floor(connectionLimit / HOLDERS_AT_ONCE) - PROBE_CONNECTIONS);
