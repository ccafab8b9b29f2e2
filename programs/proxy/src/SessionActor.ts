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

/** Units that may wait in a session before it stops reading from the caller. */
const WAITING_UNITS_LIMIT = 64;

type RecordAction = Extract<SessionAction, { kind: "record"; }>;

/** What a session's actor works with. */
export interface SessionEnvironment {
    readonly system: ActorSystemRef;
    readonly router: RequestRouter;
    /** What this VM has learned from its own requests. */
    readonly knowledge: RoutingStatistics;
    context(): SessionContext;
    nowMs(): number;
    onRecord(record: RecordAction): void;
    onClosed(): void;
}

type ActionHandlers = { readonly [Kind in SessionAction["kind"]]: (action: Extract<SessionAction, { kind: Kind; }>) => void; };

/** The actor of one caller session: carries out what `stepSession` decides. */
export class SessionActor {
    private readonly reference: Ref<SessionEvent>;
    private readonly connection: CallerConnection;
    private readonly handlers: ActionHandlers;
    /** Parts of answers that wait for the caller to read. */
    private readonly unrelayed: (() => void)[] = [];
    private unrelayedRequestId = 0;
    private isCallerSlow = false;
    private timer: NodeJS.Timeout | undefined;
    private timerAtMs = Infinity;

    private constructor(private readonly state: SessionState, socket: Socket, private readonly environment: SessionEnvironment) {
        this.reference = spawnStateless(environment.system, (event: SessionEvent) => this.step(event), state.sessionId);
        this.connection = CallerConnection.create(socket, {
            onMessages: messages => this.dispatch({ kind: SessionEventKind.Messages, messages }),
            onDrained: () => {
                this.isCallerSlow = false;
                this.releaseParts();
            },
            onClosed: () => this.dispatch({ kind: SessionEventKind.CallerClosed }),
        });
        this.handlers = this.createHandlers();
    }

    /** Starts the session; the socket's bytes are now its own. */
    static create(state: SessionState, socket: Socket, environment: SessionEnvironment): SessionActor {
        return new SessionActor(state, socket, environment);
    }

    /** Ends the session when it is idle, or now if `isFinal`. */
    drain(isFinal: boolean): void {
        this.dispatch({ kind: SessionEventKind.Drain, isFinal });
    }

    /** Cancels the request that is under way. */
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
            this.unrelayed.push(event.part.onRelayed);
            this.unrelayedRequestId = event.part.requestId;
        }
        if (!this.isCallerSlow || this.state.current?.request.requestId !== this.unrelayedRequestId) {
            this.releaseParts();
        }
        this.connection.setPaused(this.state.queuedUnits.length > WAITING_UNITS_LIMIT);
    }

    private createHandlers(): ActionHandlers {
        const { router } = this.environment;
        return {
            reply: action => {
                this.isCallerSlow = !this.connection.write(action.messages);
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
        const { knowledge, router } = this.environment;
        const key = instanceKey(request.group, request.instance);
        knowledge.countSent(key);
        router.send(vm, request, part => {
            if (part.isLast) {
                knowledge.countCompleted(key);
            }
            this.dispatch({ kind: SessionEventKind.Answer, part });
        });
    }

    /** Keeps the earliest time asked for; the session asks again when it is woken too early. */
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

    /** Lets the holder read on: the caller has taken the parts, or their request is over. */
    private releaseParts(): void {
        this.unrelayed.splice(0).forEach(onRelayed => onRelayed());
    }

    private finish(): void {
        this.releaseParts();
        clearTimeout(this.timer);
        stop(this.reference);
        this.environment.onClosed();
    }
}
