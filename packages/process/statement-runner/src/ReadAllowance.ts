import { NO_TEAM } from "@pomeloturn/authenticate-caller/identifyCaller";
import type { Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";

/**
 * What a read may still send under its team's allowance. Each attempt that may run at an instance counts as an operation; the
 * first one was granted before the read began.
 */
export class ReadAllowance {
    /** Number of attempts that have been granted and not been sent. */
    private grantedCount = 1;
    private pendingRequest: Promise<boolean> | undefined;
    private isRefused = false;

    private constructor(private readonly operation: Operation, private readonly ports: RunnerPorts) {}

    static create(operation: Operation, ports: RunnerPorts): ReadAllowance {
        return new ReadAllowance(operation, ports);
    }

    /** Whether the team has no room for another attempt. It is asked once for a read. */
    get isExhausted(): boolean {
        return this.isRefused && this.grantedCount <= 0;
    }

    /** Whether an attempt may be sent without a request. */
    get isGranted(): boolean {
        return this.ports.takeAllowance === undefined || this.operation.identity === NO_TEAM || this.grantedCount > 0;
    }

    /** Asks for another attempt. Concurrent calls share one request. */
    async request(): Promise<boolean> {
        const { takeAllowance } = this.ports;
        if (takeAllowance === undefined || this.isRefused) {
            return !this.isRefused;
        }
        this.pendingRequest ??= this.ask(takeAllowance);
        return this.pendingRequest;
    }

    /** Counts an attempt that is about to be sent. */
    spend(): void {
        this.grantedCount--;
    }

    /** Takes back an attempt that was certainly not run. */
    giveBack(): void {
        this.grantedCount++;
    }

    private async ask(takeAllowance: NonNullable<RunnerPorts["takeAllowance"]>): Promise<boolean> {
        const { isGranted } = await takeAllowance(this.operation.identity);
        this.pendingRequest = undefined;
        this.grantedCount += isGranted ? 1 : 0;
        this.isRefused = !isGranted;
        return isGranted;
    }
}
