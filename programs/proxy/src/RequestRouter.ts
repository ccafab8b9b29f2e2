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

/** Size of the fields and the framing of a request. */
const REQUEST_OVERHEAD_BYTES = 128;

/** Sends requests to the local holders or to the peer VM that holds the instance. */
export class RequestRouter {
    private readonly peers = new Map<string, PeerClient>();
    private readonly creditTracker: CreditTracker = createCreditTracker();
    /** Transactions of this VM that are open at peers. Their statements need no credit. */
    private readonly openTransactions = new Set<string>();
    /** Called with the group of each request. */
    onGroupUsed: (group: string) => void = () => undefined;
    /** Called with each status report of a peer on an instance that it holds. */
    onInstanceStatus: (vm: string, status: pomeloturn.peer.IInstanceStatus) => void = () => undefined;

    /** Charges a request to the paid link to a VM. @returns a code other than `Ok` if the request must not be sent */
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

    /** Applies the credits in a peer's status report. @param requestedAtMs monotonic time at which this VM requested the report */
    applyCreditReport(group: string, instance: string, credits: readonly number[], requestedAtMs: number): void {
        applyCreditReport(this.creditTracker, instanceKey(group, instance), credits, requestedAtMs, this.nowMs());
    }

    cancel(vm: string, requestId: number): void {
        this.find(vm)?.cancel(requestId);
    }

    endTransaction(vm: string, group: string, instance: string, transactionId: string): void {
        this.openTransactions.delete(transactionId);
        this.find(vm)?.endTransaction(group, instance, transactionId);
    }

    /** Requests the status of the instances that a peer holds. Each report carries the sequence number of its request. */
    requestStatus(vm: string, sequence: number): void {
        this.findPeer(vm)?.requestStatus(sequence);
    }

    close(): void {
        for (const peer of this.peers.values()) {
            peer.close();
        }
    }

    /** Sends a request if the holder has granted credit for it. Otherwise refuses it here, before it crosses the link. */
    private sendToPeer(target: RequestTarget, request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        const { group, instance, rank, transactionId } = request;
        if (this.openTransactions.has(transactionId)) {
            target.send(request, part => this.relayPart(part, transactionId, onPart));
            return;
        }
        const key = instanceKey(group, instance);
        const code = takeCredit(this.creditTracker, key, rank, this.nowMs());
        if (code !== ResultCode.Ok) {
            onPart(failedAnswer(request, code));
            return;
        }
        target.send(request, part => {
            if (part.isLast) {
                releaseCredit(this.creditTracker, key, rank, part.resultCode === ResultCode.Ok);
            }
            this.relayPart(part, transactionId, onPart);
        });
    }

    private relayPart(part: AnswerPart, transactionId: string, onPart: (part: AnswerPart) => void): void {
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
