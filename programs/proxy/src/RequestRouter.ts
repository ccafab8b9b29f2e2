import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import { PeerClient } from "@pomeloturn/peer-link/PeerClient";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { AnswerPart, ForwardRequest, RequestTarget } from "@pomeloturn/types/Request";

/** Sends requests to the local holders or to the peer that holds the instance. */
export class RequestRouter {
    private readonly peers = new Map<string, PeerClient>();

    private constructor(private readonly vm: string, private readonly local: RequestTarget, private readonly view: () => ControlView) {}

    static create(vm: string, local: RequestTarget, view: () => ControlView): RequestRouter {
        return new RequestRouter(vm, local, view);
    }

    send(vm: string, request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
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

    close(): void {
        for (const peer of this.peers.values()) {
            peer.close();
        }
    }

    private find(vm: string): RequestTarget | undefined {
        if (vm === this.vm) {
            return this.local;
        }
        const known = this.peers.get(vm);
        if (known !== undefined) {
            return known;
        }
        const address = this.view().vms[vm];
        if (address === undefined) {
            return undefined;
        }
        const peer = PeerClient.create(`${address.host}:${address.peerPort}`, this.vm);
        this.peers.set(vm, peer);
        return peer;
    }
}
