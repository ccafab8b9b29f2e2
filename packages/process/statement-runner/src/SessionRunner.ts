import { identifyCaller, NO_TEAM } from "@pomeloturn/authenticate-caller/identifyCaller";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { newestSampleAgeMs } from "@pomeloturn/position-samples/PositionSamples";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { answerLocally, createErrorReply, createSuccessReply } from "@pomeloturn/statement-session/answerLocally";
import { createSession, measureStored, type SessionState } from "@pomeloturn/statement-session/SessionState";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { RouteEntry } from "@pomeloturn/types/ServiceEntries";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import { toWriteResultCode } from "./decideRetry.ts";
import { createOperation, type Operation } from "./Operation.ts";
import { requestAllowance } from "./requestAllowance.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { runRead } from "./runRead.ts";
import { runWrite } from "./runWrite.ts";
import { Transaction } from "./Transaction.ts";

const NO_INSTANCE_RETRY_AFTER_MS = 500;
const DEFAULT_TRANSACTION_IDLE_MS = 3_000;

const SHUTDOWN_DETAIL = "the proxy is shutting down";

/** Statements that need no instance in any state of a session. */
const LOCAL_KINDS: ReadonlySet<StatementKind> = new Set<StatementKind>([
    StatementKind.Set,
    StatementKind.Prepare,
    StatementKind.Close,
    StatementKind.Rollback,
    StatementKind.Malformed,
]);

/** Runs the statements of one session sequentially. */
export class SessionRunner {
    private readonly state: SessionState;
    private transaction: Transaction | undefined;
    private begunAtMs = 0;
    private operation: Operation | undefined;
    private idleTimer: NodeJS.Timeout | undefined;
    private isClosed = false;
    /** Whether the open transaction fails once its running statement has ended. */
    private isExpiring = false;
    /** Whether a transaction has expired and its caller has not been told yet. */
    private hasExpired = false;

    private constructor(database: string, private readonly key: string, private readonly ports: RunnerPorts) {
        this.state = createSession(database);
    }

    /** @param key key that the caller sent at start-up; empty when it sent none */
    static create(database: string, key: string, ports: RunnerPorts): SessionRunner {
        return new SessionRunner(database, key, ports);
    }

    /**
     * Whether the caller's key still belongs to the team of the open transaction or, outside a transaction, to any team. True when
     * the database has no route.
     */
    get isAuthenticated(): boolean {
        const { routes } = this.ports.directory;
        const route = this.transaction?.routeEntry ?? routes?.routes.get(this.state.database);
        if (routes === undefined || route === undefined) {
            return true;
        }
        const identity = identifyCaller(routes, route, this.key);
        return identity !== undefined && (this.transaction === undefined || identity === this.transaction.identity);
    }

    /** Rolls back the open transaction after the caller's key was removed. Its next statement fails. */
    expireTransaction(): void {
        if (this.transaction !== undefined && this.operation?.isDone !== false) {
            this.failIdleTransaction();
            this.hasExpired = true;
        }
        else {
            this.isExpiring = this.transaction !== undefined;
        }
    }

    /** Memory that the session takes until it ends. */
    get storedBytes(): number {
        return this.key.length + measureStored(this.state);
    }

    /** Whether no transaction is open. */
    get isIdle(): boolean {
        return this.state.status === TransactionStatus.Idle;
    }

    /** When the open transaction began, in monotonic milliseconds; undefined when none is open. */
    get transactionBeganAtMs(): number | undefined {
        return this.isIdle ? undefined : this.begunAtMs;
    }

    /** Time limit of the session's next statement, in milliseconds; 0 if no route has its database. */
    get timeoutMs(): number {
        return (this.transaction?.routeEntry ?? this.ports.directory.findRoute(this.state.database))?.timeoutMs ?? 0;
    }

    /** Whether the statement is answered without an instance, in the present state of the session. */
    isAnsweredLocally({ kind }: Statement): boolean {
        return LOCAL_KINDS.has(kind) || this.state.status === TransactionStatus.Failed;
    }

    /** Answers a statement that is not run because the process shuts down. An open transaction is rolled back and fails. */
    refuse(): CallerReply {
        const { status } = this.state;
        return this.transaction === undefined
            ? createErrorReply(ResultCode.Draining, SHUTDOWN_DETAIL, status, 0)
            : this.failTransaction(createErrorReply(ResultCode.TransactionLost, SHUTDOWN_DETAIL, status, 0));
    }

    /** Answers the statement that is running although its outcome may not be known, because the process exits. */
    abandon(): CallerReply {
        const { operation, transaction } = this;
        const { status } = this.state;
        if (operation === undefined || operation.isDone) {
            return this.refuse();
        }
        const kind = operation.statement.kind;
        const isWrite = kind === StatementKind.Write || operation.prepared?.isWrite === true;
        if (transaction !== undefined && !(kind === StatementKind.Commit && transaction.mayHaveCommitted)) {
            return createErrorReply(ResultCode.TransactionLost, SHUTDOWN_DETAIL, TransactionStatus.Failed, 0);
        }
        if (transaction === undefined && operation.attempts === 0) {
            return createErrorReply(ResultCode.Draining, SHUTDOWN_DETAIL, status, 0);
        }
        const code = transaction !== undefined || isWrite ? ResultCode.OutcomeUnknown : ResultCode.DeadlineWhileRunning;
        return createErrorReply(code, SHUTDOWN_DETAIL, TransactionStatus.Idle);
    }

    async run(statement: Statement): Promise<CallerReply> {
        clearTimeout(this.idleTimer);
        const reply = this.answerExpired(statement) ?? answerLocally(this.state, statement) ?? await this.dispatch(statement);
        // An answered statement of 1 MiB would otherwise be kept until the next one.
        this.operation = undefined;
        if (this.transaction !== undefined && this.state.status === TransactionStatus.Open && !this.isClosed) {
            this.idleTimer = setTimeout(
                () => this.failIdleTransaction(),
                this.ports.directory.routes?.transactionIdleMs ?? DEFAULT_TRANSACTION_IDLE_MS,
            );
        }
        return reply;
    }

    /** Ends the session after its caller has disconnected and rolls back an open transaction. */
    close(): void {
        this.isClosed = true;
        if (this.operation !== undefined) {
            this.operation.isDone = true;
        }
        clearTimeout(this.idleTimer);
        this.transaction?.rollback();
    }

    /** Answers the first statement after the transaction has expired, unless it ends the transaction. */
    private answerExpired({ kind }: Statement): CallerReply | undefined {
        const { hasExpired } = this;
        this.hasExpired = false;
        return hasExpired && kind !== StatementKind.Commit && kind !== StatementKind.Rollback
            ? createErrorReply(ResultCode.TransactionLost, "the caller's key was removed", this.state.status)
            : undefined;
    }

    private dispatch(statement: Statement): Promise<CallerReply> | CallerReply {
        if (statement.kind === StatementKind.Rollback) {
            this.endTransaction();
            return createSuccessReply(TransactionStatus.Idle);
        }
        const route = this.transaction?.routeEntry ?? this.ports.directory.findRoute(this.state.database);
        if (route === undefined) {
            return createErrorReply(ResultCode.UnknownService, this.state.database, this.state.status);
        }
        const identity = this.transaction?.identity ?? this.identify(route);
        if (identity === undefined) {
            return this.refuseKey(statement, route);
        }
        if (statement.kind === StatementKind.Begin || statement.kind === StatementKind.BeginRead) {
            this.transaction = Transaction.create(route, identity, statement.kind === StatementKind.BeginRead, this.ports);
            this.begunAtMs = this.ports.nowMs();
            this.state.status = TransactionStatus.Open;
            return createSuccessReply(TransactionStatus.Open);
        }
        const service = this.ports.directory.services.get(route.service);
        if (service === undefined) {
            return this.failTransaction(
                createErrorReply(ResultCode.NoInstance, route.service, this.state.status, NO_INSTANCE_RETRY_AFTER_MS),
            );
        }
        return this.runAtInstance(statement, route, service, identity);
    }

    private refuseKey(statement: Statement, route: RouteEntry): CallerReply {
        const reply = createErrorReply(ResultCode.AuthenticationFailed, "the key is not valid any more", this.state.status);
        const service = this.ports.directory.services.get(route.service);
        if (service !== undefined) {
            this.reportOutcome(createOperation(this.state, statement, route, service, NO_TEAM, this.ports.nowMs()), reply);
        }
        return reply;
    }

    private identify(route: RouteEntry): string | undefined {
        const { routes } = this.ports.directory;
        return routes === undefined ? undefined : identifyCaller(routes, route, this.key);
    }

    /** Asks for one operation of the team's allowance, unless the operation has begun. @returns the refusal, if any */
    private async refuseBeyondAllowance(operation: Operation): Promise<CallerReply | undefined> {
        const retryAfterMs = this.transaction?.hasBegun === true ? undefined : await requestAllowance(operation, this.ports);
        return retryAfterMs === undefined
            ? undefined
            : createErrorReply(ResultCode.AllowanceExhausted, operation.identity, this.state.status, retryAfterMs);
    }

    private async runAtInstance(
        statement: Statement,
        route: RouteEntry,
        service: ServiceRuntime,
        identity: string,
    ): Promise<CallerReply> {
        const operation = createOperation(this.state, statement, route, service, identity, this.ports.nowMs());
        this.operation = operation;
        const refusal = await this.refuseBeyondAllowance(operation);
        if (refusal !== undefined) {
            operation.isDone = true;
            this.reportOutcome(operation, refusal);
            return this.failTransaction(refusal);
        }
        const isWrite = statement.kind === StatementKind.Write || operation.prepared?.isWrite === true;
        const outcome = this.transaction !== undefined
            ? await this.transaction.run(operation)
            : await (isWrite ? runWrite(operation, this.ports) : runRead(operation, this.ports));
        operation.isDone = true;
        const reply = "detail" in outcome ? outcome : this.toCallerReply(outcome, statement, isWrite, operation);
        this.reportOutcome(operation, reply);
        const result = this.transaction === undefined ? reply : this.updateTransaction(statement, reply);
        return this.isExpiring ? this.failTransaction(result) : result;
    }

    /** Converts an instance's reply into the caller's reply. */
    private toCallerReply(reply: InstanceReply, statement: Statement, isWrite: boolean, operation: Operation): CallerReply {
        const { transaction } = this;
        const { code, rows, proof, text } = reply;
        const base = { rows, proof, detail: code === ResultCode.Ok ? "" : `${text} ${operation.instance}`, retryAfterMs: undefined };
        const status = this.state.status;
        if (code !== ResultCode.BackendLost) {
            return { ...base, code: transaction === undefined && isWrite ? toWriteResultCode(reply) : code, status };
        }
        const isCommit = statement.kind === StatementKind.Commit;
        if (transaction !== undefined && !(isCommit && transaction.mayHaveCommitted)) {
            // The instance rolls the transaction back when its connection ends before the COMMIT.
            return { ...base, code: ResultCode.TransactionLost, status };
        }
        return { ...base, code: ResultCode.OutcomeUnknown, status };
    }

    private updateTransaction(statement: Statement, reply: CallerReply): CallerReply {
        if (statement.kind === StatementKind.Commit) {
            this.endTransaction();
            return { ...reply, status: TransactionStatus.Idle };
        }
        return reply.code === ResultCode.Ok ? { ...reply, status: TransactionStatus.Open } : this.failTransaction(reply);
    }

    /** Ends the open transaction, if any, as failed. */
    private failTransaction(reply: CallerReply): CallerReply {
        if (this.transaction === undefined) {
            return reply;
        }
        this.endTransaction();
        this.state.status = TransactionStatus.Failed;
        return { ...reply, status: TransactionStatus.Failed };
    }

    private endTransaction(): void {
        this.transaction?.rollback();
        this.transaction = undefined;
        this.isExpiring = false;
        this.state.status = TransactionStatus.Idle;
    }

    /** Rolls back a transaction whose caller has been idle too long, to free its connection for other sessions. */
    private failIdleTransaction(): void {
        this.endTransaction();
        this.state.status = TransactionStatus.Failed;
    }

    private reportOutcome(operation: Operation, reply: CallerReply): void {
        this.ports.onStatement({
            requestId: operation.statement.id,
            service: operation.service.name,
            rank: operation.route.rank,
            code: reply.code,
            latencyMs: this.ports.nowMs() - operation.startedAtMs,
            instance: operation.instance,
            attempts: operation.attempts,
            detail: reply.detail,
            leader: operation.service.leader?.entry.id ?? "",
            sampleAgeMs: newestSampleAgeMs(operation.service.samples, this.ports.nowMs()),
            configurationVersion: this.ports.directory.routes?.version ?? 0,
        });
    }
}
