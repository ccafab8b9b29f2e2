/** Intervals and timeouts of the holder and the candidates. `docs/design/leases.md` explains how they depend on each other. */

/** Interval between ticks of a group. */
export const TICK_INTERVAL_MS = 50;
/** Time between two ticks from which this VM is taken to have been paused, so that silence in that time is not counted against other VMs. */
export const PAUSE_DETECTION_MS = 400;
/** Time after a pause to process queued messages before this VM may become a candidate. */
export const MESSAGE_CATCH_UP_MS = 100;
/** Interval between probes of a primary that answers. */
export const PROBE_INTERVAL_MS = 400;
/** Interval between probes when a decision waits for the result. */
export const FAST_PROBE_INTERVAL_MS = 50;
/** Maximum time ahead for which the lease is published. After a loss of the primary the wait for the published lease then does not exceed the time of the probes. */
export const MAXIMUM_PUBLISHED_LEASE_MS = 1_200;
/** Time after which an unanswered probe stops the publication of the lease. */
export const SLOW_PROBE_MS = 300;
/** Time after which the next probe is sent although the previous one is unanswered. */
export const PROBE_TIMEOUT_MS = 1_000;
/** Time without a renewal after which a witness probes the primary. */
export const PROBE_AFTER_SILENCE_MS = 500;
/** Time for which all probes of the primary must fail before it is replaced. */
export const PRIMARY_LOST_MS = 1_500;
/** Interval between requests for promises. */
export const PREPARE_INTERVAL_MS = 200;
/** Time for which a witness does not become a candidate after it promised to another one. */
export const ELECTION_DEFERRAL_MS = 1_500;
/** Interval between orders to the same instance. */
export const ORDER_INTERVAL_MS = 300;
/** Time to wait for unreachable replicas when another replica could be promoted. */
export const REPLICA_WAIT_MS = 1_000;
/** Time after which a holder that reaches no eligible replica releases its lease to other VMs. */
export const RELEASE_AFTER_MS = 500;
/** Time limit of a planned promotion, from the end of the lease. */
export const PLANNED_PROMOTION_TIMEOUT_MS = 3_000;
/** Delay before a failed change of the row is tried again. */
export const WRITE_RETRY_MS = 250;
/** Interval at which the row is read while the answer to a change is outstanding. */
export const READ_BACK_INTERVAL_MS = 400;
/** Time limit for the grants of the new witnesses before a change of witnesses is dropped. */
export const CHANGE_READY_TIMEOUT_MS = 2_000;
/** Time for which a witness must be missing before it is replaced. */
export const WITNESS_REPLACEMENT_DELAY_MS = 1_500;
/** Interval between reads of the row while it is unknown. */
export const READ_RETRY_MS = 500;
/** Interval between reads of a known row, to recover from a lost row notice. */
export const READ_INTERVAL_MS = 30_000;
/**
 * Time after a restore of the table service before a VM without a valid lease changes the row. In it, VMs that know a newer row
 * than the restored one write it again or send it.
 */
export const RESTORE_SETTLE_MS = 2_000;
/** Interval at which the replicas are ordered to follow the primary. */
export const REPAIR_INTERVAL_MS = 5_000;
/** Number of VMs that make a set of witnesses of which one may be lost. */
export const REDUNDANT_VM_COUNT = 3;
/**
 * Time for which a VM that knows fewer than `REDUNDANT_VM_COUNT` VMs waits for more before it creates a row. A row with one
 * witness loses its holder with that witness, and no other witness can be named while the table service is down.
 */
export const FEW_VMS_CREATE_DELAY_MS = 3_000;
/** Additional delay of each VM before it creates a row, by its index in the hash order. */
export const CREATE_STAGGER_MS = 500;
/** Minimum time after a row change before leadership is transferred to the primary's failure domain. */
export const PLACEMENT_DELAY_MS = 10_000;
