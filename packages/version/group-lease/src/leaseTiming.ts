/** Durations of leases and timeouts of elections. `docs/design/leases.md` explains how they depend on each other. */

/** Duration of a grant at the witness, from the arrival of the renewal. */
export const LEASE_MS = 2_000;
/** Maximum relative error of the rate of a VM's clock. */
export const CLOCK_RATE_MARGIN = 0.01;
/** Duration of a lease at the holder, from sending the renewal. Shorter than `LEASE_MS` by the clock error of both VMs. */
export const HOLDER_LEASE_MS = LEASE_MS * (1 - 2 * CLOCK_RATE_MARGIN);
/** Interval between renewals to the same witness. */
export const RENEW_INTERVAL_MS = 400;
/** Time without a renewal after which a witness becomes a candidate. */
export const ELECTION_TIMEOUT_MS = 2_000;
/** Time without a renewal after which a witness promises to a candidate. */
export const PROMISE_AFTER_SILENCE_MS = 1_600;
/** Additional delay of each witness before it becomes a candidate, by its index in the row. */
export const CANDIDATE_STAGGER_MS = 300;
/** Maximum number of witnesses, not counting a holder that makes the number odd. */
export const WITNESS_COUNT = 5;
