import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { type AnswerPart, type ForwardRequest, RequestMode, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";

interface PausedRequest {
    readonly request: ForwardRequest;
    readonly onPart: (part: AnswerPart) => void;
    /** VM that sent the request; undefined if it is this one. */
    readonly sender: string | undefined;
    readonly pausedAtMs: number;
}

interface OpenTransaction {
    readonly group: string;
    readonly instance: string;
}

/** Passes requests to the local holders and counts the running ones. While leases are transferred, it pauses new work at the primaries. */
export class RequestGate implements RequestTarget {
    private readonly openTransactionsById = new Map<string, OpenTransaction>();
    /** Transactions that were rolled back while their caller may still send statements for them. */
    private readonly endedTransactions = new Set<string>();
    private pausedRequests: PausedRequest[] = [];
    private isPaused = false;
    runningRequests = 0;

    private constructor(private readonly target: RequestTarget, private readonly nowMs: () => number) {}

    static create(target: RequestTarget, nowMs: () => number): RequestGate {
        return new RequestGate(target, nowMs);
    }

    get openTransactions(): number {
        return this.openTransactionsById.size;
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender?: string): void {
        if (this.isPaused && request.mode !== RequestMode.ReplicaRead && !this.openTransactionsById.has(request.transactionId)) {
            this.pausedRequests.push({ request, onPart, sender, pausedAtMs: this.nowMs() });
            return;
        }
        if (this.endedTransactions.has(request.transactionId)) {
            onPart(failedAnswer(request, ResultCode.TransactionLost));
            return;
        }
        this.runningRequests++;
        this.target.send(request, part => {
            if (part.isLast) {
                this.runningRequests--;
                this.trackTransaction(request, part);
            }
            onPart(part);
        }, sender);
    }

    cancel(requestId: number, sender?: string): void {
        this.target.cancel(requestId, sender);
    }

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.openTransactionsById.delete(transactionId);
        this.pausedRequests = this.pausedRequests.filter(({ request }) => request.transactionId !== transactionId || transactionId === "");
        this.target.endTransaction(group, instance, transactionId);
    }

    /** Pauses new work at primaries. Replica reads and open transactions continue. */
    pauseNewWork(): void {
        this.isPaused = true;
    }

    /** Rolls back all open transactions by closing their connections. */
    endTransactions(): void {
        for (const [transactionId, { group, instance }] of [...this.openTransactionsById]) {
            this.endedTransactions.add(transactionId);
            this.endTransaction(group, instance, transactionId);
        }
    }

    /** Passes on the paused requests. Those whose primary has moved to another holder are refused as not run, and their senders retry them there. */
    resumeNewWork(): void {
        this.isPaused = false;
        for (const { request, onPart, sender, pausedAtMs } of this.pausedRequests.splice(0)) {
            const deadlineLeftMs = Math.max(0, request.deadlineLeftMs - (this.nowMs() - pausedAtMs));
            this.send({ ...request, deadlineLeftMs }, onPart, sender);
        }
    }

    private trackTransaction({ transactionId, group, instance }: ForwardRequest, part: AnswerPart): void {
        if (transactionId === "") {
            return;
        }
        if (part.transactionStatus === TransactionStatus.Idle) {
            this.openTransactionsById.delete(transactionId);
        }
        else {
            this.openTransactionsById.set(transactionId, { group, instance });
        }
    }
}
