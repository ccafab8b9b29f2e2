import { CallerConnection } from "@pomeloturn/caller-connection/CallerConnection";
import type { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import { type SessionAction, type SessionContext, type SessionEvent, SessionEventKind } from "@pomeloturn/session/sessionMessages";
import type { SessionState } from "@pomeloturn/session/SessionState";
import { stepSession } from "@pomeloturn/session/stepSession";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import type { ForwardRequest } from "@pomeloturn/types/Request";
import { type ActorSystemRef, dispatch, type Ref, spawnStateless, stop } from "nact";
import type { Socket } from "node:net";
import type { RequestRouter } from "./RequestRouter.ts";

/** Number of waiting units above which a session stops reading from its caller. */
const MAXIMUM_WAITING_UNITS = 64;

type RecordAction = Extract<SessionAction, { kind: "record"; }>;

/** Dependencies of `SessionActor`. */
export interface SessionEnvironment {
    readonly system: ActorSystemRef;
    readonly router: RequestRouter;
    /** Statistics that this VM measures with its own requests. */
    readonly statistics: RoutingStatistics;
    context(): SessionContext;
    nowMs(): number;
    onRecord(record: RecordAction): void;
    onClosed(): void;
}

type ActionHandlers = { readonly [Kind in SessionAction["kind"]]: (action: Extract<SessionAction, { kind: Kind; }>) => void; };

/** Actor of one caller session. Executes the actions that `stepSession` decides on. */
export class SessionActor {
    private readonly reference: Ref<SessionEvent>;
    private readonly connection: CallerConnection;
    private readonly handlers: ActionHandlers;
    /** Callbacks of the answer parts that the caller has not read yet. */
    private readonly relayCallbacks: (() => void)[] = [];
    private unrelayedRequestId = 0;
    private isCallerBlocked = false;
    private timer: NodeJS.Timeout | undefined;
    private timerAtMs = Infinity;

    private constructor(private readonly state: SessionState, socket: Socket, private readonly environment: SessionEnvironment) {
        this.reference = spawnStateless(environment.system, (event: SessionEvent) => this.step(event), state.sessionId);
        this.connection = CallerConnection.create(socket, {
            onMessages: messages => this.dispatch({ kind: SessionEventKind.Messages, messages }),
            onDrained: () => {
                this.isCallerBlocked = false;
                this.confirmRelayedParts();
            },
            onClosed: () => this.dispatch({ kind: SessionEventKind.CallerClosed }),
        });
        this.handlers = this.createHandlers();
    }

    /** Starts the session, which takes over the socket. */
    static create(state: SessionState, socket: Socket, environment: SessionEnvironment): SessionActor {
        return new SessionActor(state, socket, environment);
    }

    /** Ends the session when it is idle, or immediately if `isFinal`. */
    drain(isFinal: boolean): void {
        this.dispatch({ kind: SessionEventKind.Drain, isFinal });
    }

    /** Cancels the request that is in progress. */
    cancel(): void {
        this.dispatch({ kind: SessionEventKind.CancelRequested });
    }

    private dispatch(event: SessionEvent): void {
        dispatch(this.reference, event);
    }

    private step(event: SessionEvent): void {
        const actions = stepSession(this.state, event, this.environment.context(), this.environment.nowMs());
        for (const action of actions) {
            const handler = this.handlers[action.kind] as (action: SessionAction) => void;
            handler(action);
        }
        if (event.kind === SessionEventKind.Answer && event.part.onRelayed !== undefined) {
            this.relayCallbacks.push(event.part.onRelayed);
            this.unrelayedRequestId = event.part.requestId;
        }
        if (!this.isCallerBlocked || this.state.current?.request.requestId !== this.unrelayedRequestId) {
            this.confirmRelayedParts();
        }
        this.connection.setPaused(this.state.queuedUnits.length > MAXIMUM_WAITING_UNITS);
    }

    private createHandlers(): ActionHandlers {
        const { router } = this.environment;
        return {
            reply: action => {
                this.isCallerBlocked = !this.connection.write(action.messages);
            },
            forward: action => this.forward(action.vm, action.request),
            cancel: action => router.cancel(action.vm, action.requestId),
            endTransaction: action => router.endTransaction(action.vm, action.group, action.instance, action.transactionId),
            close: () => this.connection.end(),
            setTimer: action => this.setTimer(action.atMs),
            finished: () => this.finish(),
            record: action => this.environment.onRecord(action),
        };
    }

    private forward(vm: string, request: ForwardRequest): void {
        const { statistics, router } = this.environment;
        const key = instanceKey(request.group, request.instance);
        statistics.countSent(key);
        router.send(vm, request, part => {
            if (part.isLast) {
                statistics.countCompleted(key);
            }
            this.dispatch({ kind: SessionEventKind.Answer, part });
        });
    }

    /** Keeps the earliest of the requested times. A session whose timer fires too early sets it again. */
    private setTimer(atMs: number): void {
        if (atMs >= this.timerAtMs) {
            return;
        }
        clearTimeout(this.timer);
        this.timerAtMs = atMs;
        this.timer = setTimeout(() => {
            this.timerAtMs = Infinity;
            this.dispatch({ kind: SessionEventKind.TimerFired });
        }, Math.max(0, atMs - this.environment.nowMs()));
    }

    /** Lets the holder continue to read: the caller has read the parts, or their request has ended. */
    private confirmRelayedParts(): void {
        this.relayCallbacks.splice(0).forEach(onRelayed => onRelayed());
    }

    private finish(): void {
        this.confirmRelayedParts();
        clearTimeout(this.timer);
        stop(this.reference);
        this.environment.onClosed();
    }
}
