/** Time limit for the answer to a BEGIN, which needs no slot. */
export const BEGIN_TIMEOUT_MS = 300;

/** Time limit for the answer to a ROLLBACK, which needs no slot. */
export const ROLLBACK_TIMEOUT_MS = 300;

/** Time after which a caller may retry a statement that found no usable primary. */
export const PRIMARY_RETRY_AFTER_MS = 400;

/** Resolves after `waitMs`; a negative time counts as 0. */
export const sleep = (waitMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, Math.max(0, waitMs)));
