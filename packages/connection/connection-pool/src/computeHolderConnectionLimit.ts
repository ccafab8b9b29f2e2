/** A previous holder may still serve its open transactions while the new holder is active. */
const MAXIMUM_CONCURRENT_HOLDERS = 2;
/** Each holder probes the instance on a dedicated connection. */
const PROBE_CONNECTIONS_PER_HOLDER = 1;

/**
 * Computes the connection limit of one holder's pool, at least 1. Pool and probe of a holder use at most half of the
 * instance's limit, so that two concurrent holders stay within it without coordination.
 *
 * @param connectionLimit maximum number of connections from all proxies to the instance
 */
export const computeHolderConnectionLimit = (connectionLimit: number): number =>
    Math.max(1, Math.floor(connectionLimit / MAXIMUM_CONCURRENT_HOLDERS) - PROBE_CONNECTIONS_PER_HOLDER);
