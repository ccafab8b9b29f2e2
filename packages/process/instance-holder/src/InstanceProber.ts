import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { type InstanceRole, queryRole } from "./queryRole.ts";

const PROBE_TIMEOUT_MS = 1_000;
const PROBE_INTERVAL_MS = 1_000;
const RETRY_INTERVAL_MS = 250;
/** Failed probes in a row after which the instance counts as unreachable. */
const UNREACHABLE_AFTER_FAILURES = 2;

/** Role and position of the instance at some moment after `sentAtMs`. */
export interface InstanceSample extends InstanceRole {
    /** Monotonic time at which the query was sent, in milliseconds. */
    readonly sentAtMs: number;
}

/** What a prober works with. */
export interface ProberEnvironment {
    open(): Promise<BackendConnection>;
    /** Whether the instance is believed to be its group's primary. */
    isPrimary(): boolean;
    nowMs(): number;
    /** Called after each probe once the instance is known to be reachable or not. */
    onHealth(isReachable: boolean): void;
}

/** Probes an instance on a connection of its own: each second, and whenever a fresh sample is asked for. */
export class InstanceProber {
    private connection: BackendConnection | undefined;
    private inFlight: Promise<void> | undefined;
    private failures = 0;
    private isClosed = false;
    private timer: NodeJS.Timeout | undefined;
    /** The last sample; undefined before the first one. */
    last: InstanceSample | undefined;

    private constructor(private readonly environment: ProberEnvironment) {}

    /** Starts to probe at once. */
    static create(environment: ProberEnvironment): InstanceProber {
        const prober = new InstanceProber(environment);
        void prober.probe();
        return prober;
    }

    get isReachable(): boolean {
        return this.last !== undefined && this.failures < UNREACHABLE_AFTER_FAILURES;
    }

    /** Waits until the last sample is younger than `maximumAgeMs` or a probe has failed. */
    async refresh(maximumAgeMs: number): Promise<void> {
        const { last } = this;
        if (last === undefined || this.failures > 0 || this.environment.nowMs() - last.sentAtMs > maximumAgeMs) {
            await this.probe();
        }
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
        this.connection?.close();
    }

    private probe(): Promise<void> {
        this.inFlight ??= this.run().finally(() => {
            this.inFlight = undefined;
            this.schedule();
        });
        return this.inFlight;
    }

    private schedule(): void {
        clearTimeout(this.timer);
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.probe(), this.failures === 0 ? PROBE_INTERVAL_MS : RETRY_INTERVAL_MS);
            this.timer.unref();
        }
    }

    private async run(): Promise<void> {
        try {
            const connection = this.connection ??= await this.open();
            const sentAtMs = this.environment.nowMs();
            const role = await queryRole(connection, this.environment.isPrimary(), PROBE_TIMEOUT_MS);
            this.last = { ...role, sentAtMs };
            this.failures = 0;
        }
        catch {
            this.connection?.close();
            this.connection = undefined;
            this.failures++;
        }
        this.report();
    }

    private report(): void {
        const isKnown = this.failures === 0 || this.failures >= UNREACHABLE_AFTER_FAILURES;
        if (isKnown && !this.isClosed) {
            this.environment.onHealth(this.failures === 0);
        }
    }

    private async open(): Promise<BackendConnection> {
        const connection = await this.environment.open();
        connection.onIdleClosed = () => {
            this.connection = undefined;
            // Probes at once, so that a stopped instance is noticed before the next interval.
            void this.probe();
        };
        if (this.isClosed) {
            connection.close();
        }
        return connection;
    }
}
