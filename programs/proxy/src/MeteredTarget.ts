import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import type { LinkBudgets } from "@pomeloturn/link-budget/LinkBudgets";
import type { AnswerPart, ForwardRequest, RequestTarget } from "@pomeloturn/types/Request";

/** Answer size that is assumed before one of the service and rank has been seen. */
const FIRST_ANSWER_BYTES = 2_000;
/** Bytes of an answer's fields and framing. */
const ANSWER_OVERHEAD_BYTES = 64;
const SMOOTHING = 0.1;

/** Charges the answers to other regions' proxies: the expected size before the request runs, the rest after. */
export class MeteredTarget implements RequestTarget {
    /** Smoothed size of answers by service and rank. */
    private readonly expectedBytes = new Map<string, number>();

    private constructor(
        private readonly target: RequestTarget,
        private readonly budgets: LinkBudgets,
        private readonly ownRegion: () => string,
        private readonly regionOf: (vm: string) => string,
    ) {}

    static create(target: RequestTarget, budgets: LinkBudgets, ownRegion: () => string, regionOf: (vm: string) => string): MeteredTarget {
        return new MeteredTarget(target, budgets, ownRegion, regionOf);
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender = ""): void {
        const fromRegion = this.ownRegion();
        const toRegion = this.regionOf(sender);
        const key = `${request.service}/${request.rank}`;
        const expected = this.expectedBytes.get(key) ?? FIRST_ANSWER_BYTES;
        const code = this.budgets.charge(fromRegion, toRegion, request.rank, expected);
        if (code !== ResultCode.Ok) {
            onPart(failedAnswer(request, code));
            return;
        }
        let sentBytes = 0;
        this.target.send(request, part => {
            sentBytes += part.messages.length + ANSWER_OVERHEAD_BYTES;
            if (part.isLast) {
                this.expectedBytes.set(key, expected + SMOOTHING * (sentBytes - expected));
                this.budgets.chargeExcessBytes(fromRegion, toRegion, sentBytes - expected);
            }
            onPart(part);
        }, sender);
    }

    cancel(requestId: number, sender?: string): void {
        this.target.cancel(requestId, sender);
    }

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.target.endTransaction(group, instance, transactionId);
    }
}
