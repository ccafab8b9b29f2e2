import { createProxyDrain, ProxyDrainAction, type ProxyDrainState, stepProxyDrain } from "@pomeloturn/drain/stepProxyDrain";
import type { RequestGate } from "./RequestGate.ts";

const STEP_INTERVAL_MS = 20;

/** Dependencies of `ProxyDrain`. */
export interface ProxyDrainOptions {
    readonly gate: RequestGate;
    /** Number of open sessions. */
    sessionCount(): number;
    /** Whether this VM holds no primary any more, or has no controller that could transfer their leases. */
    areLeasesTransferred(): boolean;
    /** Reports to the controller that no work of this proxy needs the VM's leases any more. */
    reportQuiesced(): void;
    /** Ends the remaining sessions with an error that has a result code. */
    endSessions(): void;
    nowMs(): number;
    onDrained(): void;
}

/** Executes the graceful shutdown of a proxy, as `stepProxyDrain` decides. */
export class ProxyDrain {
    private readonly state: ProxyDrainState;
    private readonly timer: NodeJS.Timeout;
    private readonly handlers: Readonly<Record<ProxyDrainAction, () => void>>;

    private constructor(private readonly options: ProxyDrainOptions, durationMs: number) {
        const { gate } = options;
        this.state = createProxyDrain(durationMs, options.nowMs());
        this.handlers = {
            [ProxyDrainAction.PauseNewWork]: () => gate.pauseNewWork(),
            [ProxyDrainAction.EndTransactions]: () => gate.endTransactions(),
            [ProxyDrainAction.ReportQuiesced]: () => options.reportQuiesced(),
            [ProxyDrainAction.ResumeNewWork]: () => gate.resumeNewWork(),
            [ProxyDrainAction.EndSessions]: () => options.endSessions(),
            [ProxyDrainAction.Finish]: () => this.finish(),
        };
        this.timer = setInterval(() => this.step(), STEP_INTERVAL_MS);
    }

    static create(options: ProxyDrainOptions, durationMs: number): ProxyDrain {
        return new ProxyDrain(options, durationMs);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private step(): void {
        const { options } = this;
        const { gate } = options;
        const work = {
            sessions: options.sessionCount(),
            openTransactions: gate.openTransactions,
            runningRequests: gate.runningRequests,
            areLeasesTransferred: options.areLeasesTransferred(),
        };
        for (const action of stepProxyDrain(this.state, work, options.nowMs())) {
            this.handlers[action]();
        }
    }

    private finish(): void {
        this.close();
        // Leaves time to send the last replies before the process exits.
        setTimeout(() => this.options.onDrained(), STEP_INTERVAL_MS);
    }
}
