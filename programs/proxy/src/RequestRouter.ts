import {
    applyCreditReport,
    createCreditTracker,
    type CreditTracker,
    releaseCredit,
    takeCredit,
} from "@pomeloturn/admit-request/creditTracker";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { PeerClient } from "@pomeloturn/peer-link/PeerClient";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import { type AnswerPart, type ForwardRequest, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";

/** Bytes of a request's fields and framing. */
const REQUEST_OVERHEAD_BYTES = 128;

/** Sends requests to the local holders or to the peer that holds the instance. */
export class RequestRouter {
    private readonly peers = new Map<string, PeerClient>();
    private readonly credits: CreditTracker = createCreditTracker();
    /** Transactions of this entry that are open at peers. Their statements need no credit. */
    private readonly openTransactions = new Set<string>();
    /** Called with the group of each request. */
    onGroupUsed: (group: string) => void = () => undefined;
    /** Called with each report of a peer on an instance that it holds. */
    onInstanceStatus: (vm: string, status: pomeloturn.peer.IInstanceStatus) => void = () => undefined;

    /** Charges a request to the paid link to a VM. */
    chargeLink: (vm: string, rank: number, sizeBytes: number) => ResultCode = () => ResultCode.Ok;

    private constructor(
        private readonly vm: string,
        private readonly local: RequestTarget,
        private readonly view: () => ControlView,
        private readonly nowMs: () => number,
    ) {}

    static create(vm: string, local: RequestTarget, view: () => ControlView, nowMs: () => number): RequestRouter {
        return new RequestRouter(vm, local, view, nowMs);
    }

    send(vm: string, request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        this.onGroupUsed(request.group);
        const target = this.find(vm);
        if (target === undefined) {
            onPart(failedAnswer(request, ResultCode.NotHolder));
            return;
        }
        if (target === this.local) {
            target.send(request, onPart);
            return;
        }
        const linkCode = this.chargeLink(vm, request.rank, request.messages.length + REQUEST_OVERHEAD_BYTES);
        if (linkCode !== ResultCode.Ok) {
            onPart(failedAnswer(request, linkCode));
            return;
        }
        this.sendToPeer(target, request, onPart);
    }

    /** Takes the credits of a peer's report. @param askedAtMs monotonic time at which this VM asked */
    receiveCredits(group: string, instance: string, credits: readonly number[], askedAtMs: number): void {
        applyCreditReport(this.credits, instanceKey(group, instance), credits, askedAtMs, this.nowMs());
    }

    cancel(vm: string, requestId: number): void {
        this.find(vm)?.cancel(requestId);
    }

    endTransaction(vm: string, group: string, instance: string, transactionId: string): void {
        this.openTransactions.delete(transactionId);
        this.find(vm)?.endTransaction(group, instance, transactionId);
    }

    /** Asks a peer for the state of the instances that it holds. */
    askStatus(vm: string, sequence: number): void {
        this.findPeer(vm)?.requestStatus(sequence);
    }

    close(): void {
        for (const peer of this.peers.values()) {
            peer.close();
        }
    }

    /** Sends what the holder has room for and refuses the rest here, before it crosses the link. */
    private sendToPeer(target: RequestTarget, request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        const { group, instance, rank, transactionId } = request;
        if (this.openTransactions.has(transactionId)) {
            target.send(request, part => this.relay(part, transactionId, onPart));
            return;
        }
        const key = instanceKey(group, instance);
        const code = takeCredit(this.credits, key, rank, this.nowMs());
        if (code !== ResultCode.Ok) {
            onPart(failedAnswer(request, code));
            return;
        }
        target.send(request, part => {
            if (part.isLast) {
                releaseCredit(this.credits, key, rank, part.resultCode === ResultCode.Ok);
            }
            this.relay(part, transactionId, onPart);
        });
    }

    private relay(part: AnswerPart, transactionId: string, onPart: (part: AnswerPart) => void): void {
        if (part.isLast && part.transactionStatus === TransactionStatus.Idle) {
            this.openTransactions.delete(transactionId);
        }
        else if (part.isLast) {
            this.openTransactions.add(transactionId);
        }
        onPart(part);
    }

    private find(vm: string): RequestTarget | undefined {
        return vm === this.vm ? this.local : this.findPeer(vm);
    }

    private findPeer(vm: string): PeerClient | undefined {
        const known = this.peers.get(vm);
        if (known !== undefined) {
            return known;
        }
        const address = this.view().vms[vm];
        if (address === undefined) {
            return undefined;
        }
        const peer = PeerClient.create(`${address.host}:${address.peerPort}`, this.vm);
        peer.onInstanceStatus = status => this.onInstanceStatus(vm, status);
        this.peers.set(vm, peer);
        return peer;
    }
}
