/** Times of leases and suspicion. `docs/design/leases.md` says how they belong together. */

/** Time for which a witness keeps a grant, from when the renewal reached it. */
export const LEASE_MS = 2_000;
/** Largest share by which a VM's clock may run fast or slow. */
export const CLOCK_RATE_MARGIN = 0.01;
/** Time for which a holder may lead, from when it sent the renewal. */
export const HOLDER_LEASE_MS = LEASE_MS * (1 - 2 * CLOCK_RATE_MARGIN);
/** Time between two renewals to the same witness. */
export const RENEW_INTERVAL_MS = 400;
/** Silence of a holder after which a witness stands as a candidate. */
export const SUSPICION_MS = 2_000;
/** Silence of a holder after which a witness promises to a candidate. */
export const PROMISE_AFTER_MS = 1_600;
/** Delay between two candidates in their order. */
export const CANDIDATE_STAGGER_MS = 300;
/** Number of witnesses when there are enough VMs. */
export const WITNESS_COUNT = 5;
