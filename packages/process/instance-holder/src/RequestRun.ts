import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { AnswerRelay } from "./AnswerRelay.ts";
import { leavesSessionState } from "./callerMessages.ts";
import { ensureTermMarker } from "./ensureTermMarker.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";
import type { RoundTripHandler, RunContext } from "./RunContext.ts";
import { runPrimary } from "./runPrimary.ts";
import { runRecordedStep, runRecordedWrite } from "./runRecordedWrite.ts";
import { runReplicaRead } from "./runReplicaRead.ts";

type ModeHandler = (context: RunContext) => void;

const isRecorded = ({ request }: RunContext): boolean => request.idempotencyKey !== "";

const modeHandlers: Readonly<Record<RequestMode, ModeHandler>> = {
    [RequestMode.ReplicaRead]: runReplicaRead,
    [RequestMode.PrimaryRead]: context => ensureTermMarker(context, runPrimary),
    [RequestMode.PrimaryWrite]: context => ensureTermMarker(context, isRecorded(context) ? runRecordedWrite : runPrimary),
    [RequestMode.TransactionStep]: context => isRecorded(context) ? runRecordedStep(context) : runPrimary(context),
};

/** Runs one request on one connection in one or more round trips and relays its answer. */
export class RequestRun implements RunContext {
    readonly relay: AnswerRelay;
    private connection: BackendConnection | undefined;

    private constructor(
        readonly request: ForwardRequest,
        readonly environment: InstanceEnvironment,
        onPart: (part: AnswerPart) => void,
        private readonly onComplete: (status: TransactionStatus | undefined) => void,
    ) {
        this.relay = AnswerRelay.create(request, environment, onPart);
    }

    /** @param onComplete called with the transaction status of the connection, or undefined when it must be closed */
    static create(
        request: ForwardRequest,
        environment: InstanceEnvironment,
        onPart: (part: AnswerPart) => void,
        onComplete: (status: TransactionStatus | undefined) => void,
    ): RequestRun {
        return new RequestRun(request, environment, onPart, onComplete);
    }

    /** Runs the request. Checks the lease again, since the request may have waited for the connection. */
    start(connection: BackendConnection): void {
        this.connection = connection;
        this.relay.onPause = isPaused => connection.setPaused(isPaused);
        connection.isTainted ||= this.request.mode !== RequestMode.ReplicaRead && leavesSessionState(this.request.messages);
        const isStep = this.request.mode === RequestMode.TransactionStep;
        this.relay.status = isStep ? TransactionStatus.Open : TransactionStatus.Idle;
        if (!this.relay.isAcknowledgeable()) {
            this.fail(ResultCode.LeaseLapsedBeforeSend);
            return;
        }
        modeHandlers[this.request.mode](this);
    }

    send(queries: readonly Buffer[], stepCount: number, handler: RoundTripHandler): void {
        this.connection!.start(Buffer.concat(queries), stepCount, {
            onMessage: (message, step) => handler.onMessage(message, step),
            onDone: () => handler.onDone(),
            onLost: error => {
                this.relay.status = TransactionStatus.Idle;
                this.relay.fail(error.code);
                this.onComplete(undefined);
            },
        });
    }

    finish(position: number): void {
        this.relay.finish(position);
        this.complete();
    }

    fail(code: ResultCode): void {
        this.relay.fail(code);
        this.complete();
    }

    /** Ends the run. A connection that may hold session state of a caller is closed at the end of its transaction. */
    private complete(): void {
        this.relay.onPause = () => undefined;
        this.connection!.setPaused(false);
        const isCloseRequired = this.connection!.isTainted && this.relay.status === TransactionStatus.Idle;
        this.onComplete(isCloseRequired ? undefined : this.relay.status);
    }
}
