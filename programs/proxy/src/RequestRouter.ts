import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { PeerClient } from "@pomeloturn/peer-link/PeerClient";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { AnswerPart, ForwardRequest, RequestTarget } from "@pomeloturn/types/Request";

/** Sends requests to the local holders or to the peer that holds the instance. */
export class RequestRouter {
    private readonly peers = new Map<string, PeerClient>();
    /** Called with the group of each request. */
    onGroupUsed: (group: string) => void = () => undefined;
    /** Called with each report of a peer on an instance that it holds. */
    onInstanceStatus: (vm: string, status: pomeloturn.peer.IInstanceStatus) => void = () => undefined;

    private constructor(private readonly vm: string, private readonly local: RequestTarget, private readonly view: () => ControlView) {}

    static create(vm: string, local: RequestTarget, view: () => ControlView): RequestRouter {
        return new RequestRouter(vm, local, view);
    }

    send(vm: string, request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        this.onGroupUsed(request.group);
        const target = this.find(vm);
        if (target === undefined) {
            onPart(failedAnswer(request, ResultCode.NotHolder));
            return;
        }
        target.send(request, onPart);
    }

    cancel(vm: string, requestId: number): void {
        this.find(vm)?.cancel(requestId);
    }

    endTransaction(vm: string, group: string, instance: string, transactionId: string): void {
        this.find(vm)?.endTransaction(group, instance, transactionId);
    }

    /** Asks a peer for the state of the instances that it holds. */
    askStatus(vm: string, sequence: number): void {
        this.findPeer(vm)?.askStatus(sequence);
    }

    close(): void {
        for (const peer of this.peers.values()) {
            peer.close();
        }
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
