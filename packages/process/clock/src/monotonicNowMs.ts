const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Monotonic time of this VM in milliseconds; the same clock in all its processes. */
export const monotonicNowMs = (): number => Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
