import { decideStatement, type DrainedStatement, StatementDecision } from "@pomeloturn/drain/decideStatement";
import { createEntryDrain, type EntryDrainState } from "@pomeloturn/drain/EntryDrainState";
import { mayCloseSession } from "@pomeloturn/drain/mayCloseSession";
import { stepEntryDrain } from "@pomeloturn/drain/stepEntryDrain";
import { type CallerSession, SessionActivity, type StatementGate } from "./CallerSession.ts";

const STEP_INTERVAL_MS = 50;
/** Time for the callers to read the last replies and to close their connections before the process exits. */
const LINGER_MS = 250;
const LINGER_STEP_MS = 10;

/** Dependencies of `EntryDrain`. */
export interface EntryDrainOptions {
    readonly sessions: ReadonlySet<CallerSession>;
    readonly stopAccepting: () => void;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    readonly onDone: () => void;
}

/** Executes the graceful shutdown of the process, as `stepEntryDrain` and `decideStatement` decide. */
export class EntryDrain implements StatementGate {
    private readonly state: EntryDrainState;
    private readonly timer: NodeJS.Timeout;
    private isExiting = false;

    private constructor(private readonly options: EntryDrainOptions, graceMs: number) {
        this.state = createEntryDrain(graceMs, options.nowMs());
        this.timer = setInterval(() => this.step(), STEP_INTERVAL_MS);
    }

    static create(options: EntryDrainOptions, graceMs: number): EntryDrain {
        return new EntryDrain(options, graceMs);
    }

    decide(statement: DrainedStatement): StatementDecision {
        return this.isExiting ? StatementDecision.Refuse : decideStatement(this.state, statement, this.options.nowMs());
    }

    private step(): void {
        const sessions = [...this.options.sessions];
        const withActivity = (activity: SessionActivity): CallerSession[] => sessions.filter(session => session.activity === activity);
        const idle = withActivity(SessionActivity.Idle).filter(({ quietMs }) => mayCloseSession(false, quietMs));
        const inTransaction = withActivity(SessionActivity.InTransaction);
        const ended = withActivity(SessionActivity.Ended).length;
        const runningStatements = sessions.length - ended - idle.length - inTransaction.length;
        const work = { idleSessions: idle.length, openTransactions: inTransaction.length, runningStatements };
        const decision = stepEntryDrain(this.state, work, this.options.nowMs());
        idle.slice(0, decision.idleCloseCount).forEach(session => session.endIfIdle());
        const begunByMs = decision.endTransactionsBegunByMs ?? -Infinity;
        inTransaction
            .filter(({ transactionBeganAtMs = Infinity, quietMs }) => transactionBeganAtMs <= begunByMs && mayCloseSession(true, quietMs))
            .forEach(session => session.endIfIdle());
        if (decision.stopAccepting) {
            this.options.stopAccepting();
        }
        if (decision.exit) {
            this.exit();
        }
    }

    private exit(): void {
        clearInterval(this.timer);
        this.isExiting = true;
        const { sessions, nowMs, onDone } = this.options;
        // Statements that have arrived by now are read first.
        setImmediate(() => [...sessions].forEach(session => session.abandon()));
        const endsAtMs = nowMs() + LINGER_MS;
        const timer = setInterval(() => {
            if (nowMs() >= endsAtMs || sessions.size === 0) {
                clearInterval(timer);
                onDone();
            }
        }, LINGER_STEP_MS);
    }
}
