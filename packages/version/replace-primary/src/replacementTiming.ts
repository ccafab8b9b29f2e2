/** Intervals, timeouts and limits of a replacement. */

/** Interval between probes of a suspected primary. */
export const PROBE_INTERVAL_MS = 120;
/** Time after which a probe without an answer counts as silent. */
export const PROBE_TIMEOUT_MS = 300;
/** Number of refused probes from which the primary counts as down. */
export const REFUSED_PROBE_LIMIT = 2;
/** Number of failed probes, silent or refused, from which the primary counts as down. */
export const FAILED_PROBE_LIMIT = 3;
/** Time without a known leader after which an instance is promoted. */
export const LEADERLESS_TIMEOUT_MS = 900;
/** Delay of each VM relative to the preceding one in the order in which VMs act. */
export const VM_STAGGER_MS = 150;
/** Maximum number of delays that a VM waits. */
export const MAXIMUM_STAGGER_COUNT = 8;
/** Time after a claim of the authority before another VM may claim it. */
export const OTHER_VM_CLAIM_WAIT_MS = 1_700;
/** Time after its claim in which a VM may order a promotion, where the time for orders is limited. */
export const ORDER_WINDOW_MS = 1_500;
/** The same as `CATCH_UP_TIMEOUT_MS`, where the time for orders is limited: two of it and the surveys fit into the window. */
export const LIMITED_CATCH_UP_TIMEOUT_MS = 400;
/** Time from the claim after which a leaving primary is not told to step down any more, where the time for orders is limited. */
export const LAST_STEP_DOWN_MS = 800;
/** The same as `OTHER_VM_CLAIM_WAIT_MS`, where the time for orders is limited: the window, and time for an order to be carried out. */
export const LIMITED_CLAIM_WAIT_MS = 3_500;
/** Delay after a failed attempt. */
export const RETRY_DELAY_MS = 400;
/** Time limit of a phase. */
export const PHASE_TIMEOUT_MS = 3_000;
/** Time to wait for an answer of a replica that stays before a draining one is promoted. */
export const STAYING_REPLICA_WAIT_MS = 600;
/** Interval of surveys while no leader is known or the leader is down. */
export const SURVEY_INTERVAL_MS = 250;
/** Interval of surveys during a replacement. */
export const REPLACEMENT_SURVEY_INTERVAL_MS = 80;
/** Time limit for answers to a survey. */
export const SURVEY_TIMEOUT_MS = 250;
/** Maximum number of commits that the successor may lack when the leaving primary is told to stop accepting writes. */
export const MAXIMUM_MISSING_COMMITS = 40;
/** Time limit for a successor to catch up. */
export const CATCH_UP_TIMEOUT_MS = 1_500;
/** Time after the start of the process before an authority that no VM holds is claimed. */
export const FIRST_CLAIM_DELAY_MS = 3_000;
/** Time after another VM's claim at which it has ordered a promotion or given up. */
export const RESUME_CHECK_DELAY_MS = 6_000;
/** Delay before an unanswered order is repeated. */
export const ORDER_RETRY_DELAY_MS = 100;
