/** Time within which an instance answers a BEGIN, which needs no slot. */
export const BEGIN_TIMEOUT_MS = 300;

/** When a statement that found no usable primary may come back, in milliseconds after its refusal. */
export const PRIMARY_RETRY_AFTER_MS = 400;

/** Resolves after a time. */
export const sleep = (waitMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, Math.max(0, waitMs)));
