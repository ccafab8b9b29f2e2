import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { type InstanceRole, queryRole } from "./queryRole.ts";

const PROBE_TIMEOUT_MS = 1_000;
const PROBE_INTERVAL_MS = 1_000;
const RETRY_INTERVAL_MS = 250;
/** Consecutive failed probes after which the instance is considered unreachable. */
const UNREACHABLE_AFTER_FAILURES = 2;

/** Role and position of the instance, read at or after `sentAtMs`. */
export interface InstanceSample extends InstanceRole {
    /** Monotonic time at which the query was sent, in milliseconds. */
    readonly sentAtMs: number;
}

/** Dependencies of `InstanceProber`. */
export interface ProberEnvironment {
    /** Opens the connection for probes. */
    open(): Promise<BackendConnection>;
    /** Whether the instance is the primary in the current view of its group. */
    isPrimary(): boolean;
    nowMs(): number;
    /** Called after each probe that shows the instance to be reachable or unreachable. */
    onHealth(isReachable: boolean): void;
    /** Called when a probe that was sent at `sentAtMs` has got no answer. */
    onUnanswered(sentAtMs: number): void;
}

/** Probes an instance over a dedicated connection, every second and whenever a fresh sample is requested. */
export class InstanceProber {
    private connection: BackendConnection | undefined;
    private inFlight: Promise<void> | undefined;
    private failureCount = 0;
    private isClosed = false;
    private timer: NodeJS.Timeout | undefined;
    /** Latest sample; undefined before the first successful probe. */
    last: InstanceSample | undefined;

    private constructor(private readonly environment: ProberEnvironment) {}

    /** Creates a prober and starts the first probe. */
    static create(environment: ProberEnvironment): InstanceProber {
        const prober = new InstanceProber(environment);
        void prober.probe();
        return prober;
    }

    get isReachable(): boolean {
        return this.last !== undefined && this.failureCount < UNREACHABLE_AFTER_FAILURES;
    }

    /** Runs a probe when the latest one failed or its sample is older than `maximumAgeMs`, and waits for it to end. */
    async refresh(maximumAgeMs: number): Promise<void> {
        const { last } = this;
        if (last === undefined || this.failureCount > 0 || this.environment.nowMs() - last.sentAtMs > maximumAgeMs) {
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
            this.timer = setTimeout(() => void this.probe(), this.failureCount === 0 ? PROBE_INTERVAL_MS : RETRY_INTERVAL_MS);
            this.timer.unref();
        }
    }

    private async run(): Promise<void> {
        let sentAtMs: number | undefined;
        try {
            const connection = this.connection ??= await this.open();
            sentAtMs = this.environment.nowMs();
            const role = await queryRole(connection, this.environment.isPrimary(), PROBE_TIMEOUT_MS);
            this.last = { ...role, sentAtMs };
            this.failureCount = 0;
        }
        catch {
            this.connection?.close();
            this.connection = undefined;
            this.failureCount++;
            if (sentAtMs !== undefined) {
                this.environment.onUnanswered(sentAtMs);
            }
        }
        this.reportHealth();
    }

    private reportHealth(): void {
        const isKnown = this.failureCount === 0 || this.failureCount >= UNREACHABLE_AFTER_FAILURES;
        if (isKnown && !this.isClosed) {
            this.environment.onHealth(this.failureCount === 0);
        }
    }

    private async open(): Promise<BackendConnection> {
        const connection = await this.environment.open();
        connection.onIdleClosed = () => {
            this.connection = undefined;
            // An immediate probe detects a stopped instance before the next interval.
            void this.probe();
        };
        if (this.isClosed) {
            connection.close();
        }
        return connection;
    }
}
