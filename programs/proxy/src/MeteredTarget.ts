import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { failedAnswer } from "@pomeloturn/instance-holder/failedAnswer";
import type { LinkBudgets } from "@pomeloturn/link-budget/LinkBudgets";
import type { AnswerPart, ForwardRequest, RequestTarget } from "@pomeloturn/types/Request";

/** Expected size of the first answer of a service and rank. */
const INITIAL_ANSWER_BYTES = 2_000;
/** Size of the fields and the framing of an answer part. */
const ANSWER_OVERHEAD_BYTES = 64;
const SMOOTHING_FACTOR = 0.1;

/** Charges answers to proxies in other regions to the paid links: the expected size before the request runs, and the difference afterwards. */
export class MeteredTarget implements RequestTarget {
    /** Exponentially smoothed answer size by service and rank. */
    private readonly expectedBytes = new Map<string, number>();

    private constructor(
        private readonly target: RequestTarget,
        private readonly budgets: LinkBudgets,
        private readonly ownRegion: () => string,
        private readonly findRegion: (vm: string) => string,
    ) {}

    static create(target: RequestTarget, budgets: LinkBudgets, ownRegion: () => string, findRegion: (vm: string) => string): MeteredTarget {
        return new MeteredTarget(target, budgets, ownRegion, findRegion);
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender = ""): void {
        const fromRegion = this.ownRegion();
        const toRegion = this.findRegion(sender);
        const key = `${request.service}/${request.rank}`;
        const expected = this.expectedBytes.get(key) ?? INITIAL_ANSWER_BYTES;
        const code = this.budgets.charge(fromRegion, toRegion, request.rank, expected);
        if (code !== ResultCode.Ok) {
            onPart(failedAnswer(request, code));
            return;
        }
        let sentBytes = 0;
        this.target.send(request, part => {
            sentBytes += part.messages.length + ANSWER_OVERHEAD_BYTES;
            if (part.isLast) {
                this.expectedBytes.set(key, expected + SMOOTHING_FACTOR * (sentBytes - expected));
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
