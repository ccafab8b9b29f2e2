import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { type AnswerPart, type ForwardRequest, RequestMode, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";

interface HeldRequest {
    readonly request: ForwardRequest;
    readonly onPart: (part: AnswerPart) => void;
    /** VM that the request comes from, when it is not this one. */
    readonly sender: string | undefined;
    readonly heldAtMs: number;
}

interface OpenTransaction {
    readonly group: string;
    readonly instance: string;
}

/** Stands before the local holders: counts what runs and, during a hand-over, holds new work at primaries back. */
export class RequestGate implements RequestTarget {
    private readonly open = new Map<string, OpenTransaction>();
    /** Transactions that were ended while their caller may still go on with them. */
    private readonly ended = new Set<string>();
    private held: HeldRequest[] = [];
    private isHolding = false;
    runningRequests = 0;

    private constructor(private readonly target: RequestTarget, private readonly nowMs: () => number) {}

    static create(target: RequestTarget, nowMs: () => number): RequestGate {
        return new RequestGate(target, nowMs);
    }

    get openTransactions(): number {
        return this.open.size;
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender?: string): void {
        if (this.isHolding && request.mode !== RequestMode.ReplicaRead && !this.open.has(request.transactionId)) {
            this.held.push({ request, onPart, sender, heldAtMs: this.nowMs() });
            return;
        }
        if (this.ended.has(request.transactionId)) {
            onPart(failedAnswer(request, ResultCode.TransactionLost));
            return;
        }
        this.runningRequests++;
        this.target.send(request, part => {
            if (part.isLast) {
                this.runningRequests--;
                this.noteTransaction(request, part);
            }
            onPart(part);
        }, sender);
    }

    cancel(requestId: number, sender?: string): void {
        this.target.cancel(requestId, sender);
    }

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.open.delete(transactionId);
        this.held = this.held.filter(({ request }) => request.transactionId !== transactionId || transactionId === "");
        this.target.endTransaction(group, instance, transactionId);
    }

    /** Holds new work at primaries back; open transactions go on. */
    hold(): void {
        this.isHolding = true;
    }

    /** Closes the connections of all open transactions, which rolls them back. */
    endTransactions(): void {
        for (const [transactionId, { group, instance }] of [...this.open]) {
            this.ended.add(transactionId);
            this.endTransaction(group, instance, transactionId);
        }
    }

    /** Passes on what was held back; what has moved is refused as not run and tried at the new holder. */
    release(): void {
        this.isHolding = false;
        for (const { request, onPart, sender, heldAtMs } of this.held.splice(0)) {
            const deadlineLeftMs = Math.max(0, request.deadlineLeftMs - (this.nowMs() - heldAtMs));
            this.send({ ...request, deadlineLeftMs }, onPart, sender);
        }
    }

    private noteTransaction({ transactionId, group, instance }: ForwardRequest, part: AnswerPart): void {
        if (transactionId === "") {
            return;
        }
        if (part.transactionStatus === TransactionStatus.Idle) {
            this.open.delete(transactionId);
        }
        else {
            this.open.set(transactionId, { group, instance });
        }
    }
}
