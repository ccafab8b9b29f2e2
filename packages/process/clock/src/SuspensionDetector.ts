/** Difference between the advances of the two clocks above which the VM is considered to have been suspended. */
const SUSPENSION_THRESHOLD_MS = 40;

/**
 * Detects that the VM was suspended: the wall clock advances during that time, the monotonic clock does not. A step
 * of the wall clock cannot be distinguished from a suspension and is treated alike, since measured ages are unreliable.
 */
export class SuspensionDetector {
    private offsetMs: number | undefined;
    private count = 0;

    private constructor(private readonly onSuspended: (differenceMs: number) => void) {}

    /** @param onSuspended called for each suspension before `check` returns, with the difference between the clocks' advances */
    static create(onSuspended: (differenceMs: number) => void): SuspensionDetector {
        return new SuspensionDetector(onSuspended);
    }

    /**
     * Compares the clocks' advances since the last call.
     *
     * @param monotonicMs time of the monotonic clock
     * @param wallMs time of the wall clock
     * @returns the number of suspensions detected so far
     */
    check(monotonicMs: number, wallMs: number): number {
        const offsetMs = wallMs - monotonicMs;
        const differenceMs = offsetMs - (this.offsetMs ?? offsetMs);
        this.offsetMs = offsetMs;
        if (Math.abs(differenceMs) > SUSPENSION_THRESHOLD_MS) {
            this.count++;
            this.onSuspended(differenceMs);
        }
        return this.count;
    }
}
