import type { VirtualTime } from "./VirtualTime.ts";

/** How an instance answers an opening or a statement. No answer at all is the absence of a call. */
export const InstanceAnswer = {
    Ok: "ok",
    Busy: "busy",
    NoConnections: "noConnections",
    Lost: "lost",
} as const;
export type InstanceAnswer = typeof InstanceAnswer[keyof typeof InstanceAnswer];

/** What the instance does with requests. */
export const InstanceMode = {
    Serving: "serving",
    /** The process is down: openings are refused at once. */
    Down: "down",
    /** Nothing arrives and no answer leaves. */
    Silent: "silent",
} as const;
export type InstanceMode = typeof InstanceMode[keyof typeof InstanceMode];

/** A VM's end of a connection. */
export interface SimulatedConnection {
    /** Sends a statement. A lost connection answers `Lost`, a silent instance nothing. */
    readonly run: (workMs: number, onAnswer: (answer: InstanceAnswer) => void) => void;
    readonly close: () => void;
}

interface Job {
    readonly workMs: number;
    readonly isStatement: boolean;
    readonly connection: AcceptedConnection;
    readonly onAnswer: (answer: InstanceAnswer) => void;
}

interface AcceptedConnection {
    isClosed: boolean;
    readonly onLost: () => void;
}

export interface InstanceLimits {
    readonly slotCount: number;
    readonly queueLength: number;
    readonly connectionLimit: number;
    readonly openingWorkMs: number;
    readonly roundTripMs: number;
}

/** Instance with slots, a queue and a connection limit. Openings take a slot as statements do. */
export class SimulatedInstance {
    mode: InstanceMode = InstanceMode.Serving;
    slowFactor = 1;
    busyCount = 0;
    exhaustedCount = 0;
    openingCount = 0;
    /** Times at which statements ended while the instance served. */
    readonly answeredAtMs: number[] = [];
    private readonly connections = new Set<AcceptedConnection>();
    private running = 0;
    private queue: Job[] = [];
    private start = 0;

    constructor(private readonly time: VirtualTime, private readonly limits: InstanceLimits) {}

    /** Ends the process and all connections. */
    stop(): void {
        this.mode = InstanceMode.Down;
        this.start++;
        this.running = 0;
        this.queue = [];
        const lost = [...this.connections];
        this.connections.clear();
        for (const connection of lost) {
            connection.isClosed = true;
            this.time.after(this.limits.roundTripMs / 2, connection.onLost);
        }
    }

    /** Opens a connection. @param onLost called when the instance ends a connection that it has accepted */
    open(onAnswer: (answer: InstanceAnswer) => void, onLost: () => void): SimulatedConnection {
        const connection: AcceptedConnection = { isClosed: false, onLost };
        this.arrive(() => this.accept(connection, onAnswer));
        return {
            run: (workMs, onAnswered) => this.arrive(() => this.enqueue({ workMs, isStatement: true, connection, onAnswer: onAnswered })),
            close: () => this.time.after(this.limits.roundTripMs / 2, () => this.release(connection)),
        };
    }

    private accept(connection: AcceptedConnection, onAnswer: (answer: InstanceAnswer) => void): void {
        if (this.mode === InstanceMode.Down) {
            this.answer(onAnswer, InstanceAnswer.Lost);
        }
        else if (this.connections.size >= this.limits.connectionLimit) {
            this.exhaustedCount++;
            this.answer(onAnswer, InstanceAnswer.NoConnections);
        }
        else if (!connection.isClosed) {
            this.connections.add(connection);
            this.openingCount++;
            this.enqueue({ workMs: this.limits.openingWorkMs, isStatement: false, connection, onAnswer });
        }
    }

    private release(connection: AcceptedConnection): void {
        connection.isClosed = true;
        this.connections.delete(connection);
    }

    private arrive(handle: () => void): void {
        this.time.after(this.limits.roundTripMs / 2, () => {
            if (this.mode !== InstanceMode.Silent) {
                handle();
            }
        });
    }

    private answer(onAnswer: (answer: InstanceAnswer) => void, answer: InstanceAnswer): void {
        if (this.mode !== InstanceMode.Silent) {
            this.time.after(this.limits.roundTripMs / 2, () => onAnswer(answer));
        }
    }

    private enqueue(job: Job): void {
        if (job.connection.isClosed) {
            this.answer(job.onAnswer, InstanceAnswer.Lost);
        }
        else if (this.running < this.limits.slotCount) {
            this.execute(job);
        }
        else if (this.queue.length < this.limits.queueLength) {
            this.queue.push(job);
        }
        else {
            this.busyCount++;
            if (!job.isStatement) {
                this.release(job.connection);
            }
            this.answer(job.onAnswer, InstanceAnswer.Busy);
        }
    }

    private execute(job: Job): void {
        this.running++;
        const { start } = this;
        this.time.after(job.workMs * this.slowFactor, () => {
            if (start !== this.start) {
                return;
            }
            this.running--;
            if (job.isStatement && this.mode === InstanceMode.Serving) {
                this.answeredAtMs.push(this.time.nowMs);
            }
            this.answer(job.onAnswer, InstanceAnswer.Ok);
            const next = this.queue.shift();
            if (next !== undefined) {
                this.execute(next);
            }
        });
    }
}
