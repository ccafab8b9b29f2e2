/** Times of the holder's and the candidates' work. `docs/design/leases.md` says how they belong together. */

/** Time between two runs of a group's decisions. */
export const TICK_INTERVAL_MS = 50;
/** Time between two ticks that shows that this VM was paused, so that its suspicions are void. */
export const PAUSE_MS = 400;
/** Time after a pause for the messages that waited, before others are suspected. */
export const READ_MESSAGES_MS = 100;
/** Time between two probes of a primary that answers. */
export const PROBE_INTERVAL_MS = 400;
/** Time between two probes of a primary whose answer is waited for. */
export const FAST_PROBE_INTERVAL_MS = 50;
/** Longest time ahead for which the proxy may acknowledge, so that a lost primary is not waited for longer than it is probed. */
export const PUBLISHED_LEASE_MS = 1_200;
/** Time after which a probe without an answer stops the publishing of the lease. */
export const SLOW_PROBE_MS = 300;
/** Time after which a probe without an answer no longer holds back the next. */
export const PROBE_TIMEOUT_MS = 1_000;
/** Silence of a holder after which its witnesses probe the primary. */
export const PROBE_AFTER_MS = 500;
/** Time for which a primary must fail all probes before it is replaced. */
export const PRIMARY_LOST_MS = 1_500;
/** Time between two requests for promises. */
export const PREPARE_INTERVAL_MS = 200;
/** Time that a witness leaves to a candidate that it promised to. */
export const DEFER_MS = 1_500;
/** Time between two orders to the same instance. */
export const ORDER_INTERVAL_MS = 300;
/** Time to wait for replicas that do not answer while another could be promoted. */
export const REPLICA_WAIT_MS = 1_000;
/** Time after which a holder that reaches no replica leaves the promotion to other VMs. */
export const YIELD_AFTER_MS = 500;
/** Time for a planned promotion, from the end of the lease. */
export const PLANNED_LIMIT_MS = 3_000;
/** Time between two tries of a change of the row. */
export const WRITE_RETRY_MS = 250;
/** Time after which the row is read while the answer to a change is awaited. */
export const READ_BACK_MS = 400;
/** Time that a change of witnesses waits for the grants of the new ones. */
export const CHANGE_READY_LIMIT_MS = 2_000;
/** Time for which a witness must be gone before it is replaced. */
export const WITNESS_GONE_MS = 1_500;
/** Time between two reads of an unknown row. */
export const READ_RETRY_MS = 500;
/** Time between two reads of a known row, in case that its notice was lost. */
export const READ_INTERVAL_MS = 30_000;
/** Time between two rounds of orders to the replicas to follow the primary. */
export const REPAIR_INTERVAL_MS = 5_000;
/** Time for which a VM that knows no other waits for one before it creates a row: nobody could follow it as the holder. */
export const ALONE_WAIT_MS = 3_000;
/** Delay between two VMs that would create a row. */
export const CREATE_STAGGER_MS = 500;
/** Time that leadership stays where a failure has brought it, before it moves to the primary's failure domain. */
export const PLACEMENT_DELAY_MS = 10_000;
