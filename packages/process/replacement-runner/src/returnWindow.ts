/** Time after an outage of the store in which the entry of an instance that is alive may still be missing, in milliseconds. */
export const RETURN_WINDOW_MS = 3_000;
