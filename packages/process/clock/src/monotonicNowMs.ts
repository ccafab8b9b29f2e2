const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Returns the monotonic time of this VM in milliseconds. All processes of the VM share this clock. */
export const monotonicNowMs = (): number => Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
