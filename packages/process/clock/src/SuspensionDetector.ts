/** Difference between the clocks' advances from which the VM counts as suspended, in milliseconds. */
const TOLERANCE_MS = 40;

/**
 * Notices that the VM stood still: the steady clock does not count that time, the time of day does. A step of the
 * time of day looks the same and is treated alike, since the ages of what is known cannot be trusted then.
 */
export class SuspensionDetector {
    private offsetMs: number | undefined;
    private count = 0;

    private constructor(private readonly onSuspended: (differenceMs: number) => void) {}

    /** @param onSuspended told of each suspension, before `check` returns */
    static create(onSuspended: (differenceMs: number) => void): SuspensionDetector {
        return new SuspensionDetector(onSuspended);
    }

    /**
     * @param steadyNowMs steady clock; @param wallNowMs time of day
     * @returns how many suspensions were noticed up to now
     */
    check(steadyNowMs: number, wallNowMs: number): number {
        const offsetMs = wallNowMs - steadyNowMs;
        const differenceMs = offsetMs - (this.offsetMs ?? offsetMs);
        this.offsetMs = offsetMs;
        if (Math.abs(differenceMs) > TOLERANCE_MS) {
            this.count++;
            this.onSuspended(differenceMs);
        }
        return this.count;
    }
}
