import { createEntryDrain, type EntryDrainState, stepEntryDrain } from "@pomeloturn/drain/stepEntryDrain";
import { type CallerSession, SessionActivity } from "./CallerSession.ts";

const STEP_INTERVAL_MS = 50;

/** Dependencies of `EntryDrain`. */
export interface EntryDrainOptions {
    readonly sessions: ReadonlySet<CallerSession>;
    readonly stopAccepting: () => void;
    readonly nowMs: () => number;
    readonly onDone: () => void;
}

/** Executes the graceful shutdown of the process, as `stepEntryDrain` decides. */
export class EntryDrain {
    private readonly state: EntryDrainState;
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly options: EntryDrainOptions, graceMs: number) {
        this.state = createEntryDrain(graceMs, options.nowMs());
        this.timer = setInterval(() => this.step(), STEP_INTERVAL_MS);
    }

    static create(options: EntryDrainOptions, graceMs: number): EntryDrain {
        return new EntryDrain(options, graceMs);
    }

    private step(): void {
        const sessions = [...this.options.sessions];
        const withActivity = (activity: SessionActivity): CallerSession[] => sessions.filter(session => session.activity === activity);
        const idle = withActivity(SessionActivity.Idle);
        const inTransaction = withActivity(SessionActivity.InTransaction);
        const runningStatements = withActivity(SessionActivity.Running).length;
        const work = { idleSessions: idle.length, openTransactions: inTransaction.length, runningStatements };
        const decision = stepEntryDrain(this.state, work, this.options.nowMs());
        idle.slice(0, decision.idleCloseCount).forEach(session => session.end());
        const begunByMs = decision.endTransactionsBegunByMs ?? -Infinity;
        inTransaction.filter(({ transactionBeganAtMs = Infinity }) => transactionBeganAtMs <= begunByMs).forEach(session => session.end());
        if (decision.stopAccepting) {
            this.options.stopAccepting();
        }
        if (decision.exit) {
            clearInterval(this.timer);
            sessions.forEach(session => session.end());
            // Leaves time to send the last replies before the process exits.
            setTimeout(() => this.options.onDone(), STEP_INTERVAL_MS);
        }
    }
}
