/** Time for which an order is repeated until its VM is seen to leave. */
const REPEAT_FOR_MS = 20_000;

/** Drain commands for other VMs. Messages between controllers can be lost, so each is repeated until its VM is seen to leave. */
export class DrainOrders {
    /** When the order for a VM is given up, in monotonic milliseconds. */
    private readonly givenUpAtMs = new Map<string, number>();

    private constructor(private readonly send: (vm: string) => void) {}

    /** @param send sends the order to the controller of a VM */
    static create(send: (vm: string) => void): DrainOrders {
        return new DrainOrders(send);
    }

    order(vm: string, nowMs: number): void {
        this.givenUpAtMs.set(vm, nowMs + REPEAT_FOR_MS);
        this.send(vm);
    }

    /** Repeats the orders that have had no effect. @param isLeaving returns whether a VM is known to leave, or is gone */
    repeat(isLeaving: (vm: string) => boolean, nowMs: number): void {
        for (const [vm, givenUpAtMs] of this.givenUpAtMs) {
            if (isLeaving(vm) || nowMs >= givenUpAtMs) {
                this.givenUpAtMs.delete(vm);
            }
            else {
                this.send(vm);
            }
        }
    }
}
