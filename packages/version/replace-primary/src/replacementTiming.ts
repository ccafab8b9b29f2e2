/** Times of a replacement, in milliseconds unless stated. */

/** Probes of a suspected primary follow each other at this interval. */
export const PROBE_INTERVAL_MS = 120;
/** Probes without an answer after this time are silent. */
export const PROBE_TIMEOUT_MS = 300;
/** Refused probes that show a primary to be down. */
export const REFUSED_PROBES = 2;
/** Probes without an answer that show a primary to be down. */
export const SILENT_PROBES = 3;
/** Time without a known primary after which one is promoted. */
export const LEADERLESS_LIMIT_MS = 900;
/** Each VM gives the one that comes before it this time to act. */
export const PLACE_DELAY_MS = 150;
/** Highest place that counts for the delay. */
export const PLACE_LIMIT = 8;
/** Time that a VM which has taken the authority gets before another takes it. */
export const YIELD_MS = 1_700;
/** Pause after an attempt that came to nothing. */
export const RETRY_PAUSE_MS = 400;
/** Longest time in a phase. */
export const PHASE_LIMIT_MS = 3_000;
/** Interval at which instances are asked who leads while nobody is known to. */
export const SURVEY_INTERVAL_MS = 250;
/** Interval of the questions while a replacement is under way. */
export const HANDOVER_POLL_MS = 80;
/** Answers to a survey are awaited for this time. */
export const SURVEY_TIMEOUT_MS = 250;
/** Commits that a successor may lack when a leaving primary is told to stop. */
export const CLOSE_COMMITS = 40;
/** Longest wait for a successor to catch up. */
export const CATCH_UP_LIMIT_MS = 1_500;
/** Time after the process's start before an authority that nobody has is taken. */
export const FIRST_CLAIM_DELAY_MS = 3_000;
/** Pause before an order that got no answer is given again. */
export const ORDER_PAUSE_MS = 100;
