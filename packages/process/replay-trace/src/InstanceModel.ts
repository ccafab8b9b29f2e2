import { type AdmissionState, createAdmissionState } from "@pomeloturn/admit-request/AdmissionState";
import { AdmissionActionKind, AdmissionEventKind, stepAdmission } from "@pomeloturn/admit-request/stepAdmission";
import type { EventQueue } from "./EventQueue.ts";
import type { ReplayDeployment } from "./ReplayDeployment.ts";

const QUEUE_LIMIT_REQUESTS = 500;
const QUEUE_LIMIT_BYTES = 16 * 1024 * 1024;
const REQUEST_BYTES = 200;

/** A request at the holder of an instance. */
export interface HeldRequest {
    readonly rank: number;
    readonly deadlineAtMs: number;
    readonly serviceTimeMs: number;
    onFinished(nowMs: number): void;
    onRefused(nowMs: number): void;
}

/** Slot time of one statement. */
export interface SlotTime {
    readonly rank: number;
    readonly atMs: number;
    readonly lengthMs: number;
}

/** An instance with its holder: the real admission decisions, and statements that take their time. */
export class InstanceModel {
    /** Slot time that was asked for, by arrival. */
    readonly offered: SlotTime[] = [];
    /** Slot time that was used, by the statement's end. */
    readonly used: SlotTime[] = [];
    private readonly admission: AdmissionState;
    private readonly requests = new Map<number, HeldRequest>();
    private nextId = 1;

    private constructor(deployment: ReplayDeployment, private readonly events: EventQueue) {
        const { slots, ranks } = deployment;
        this.admission = createAdmissionState({ slots, ranks, queueLimit: QUEUE_LIMIT_REQUESTS, queueLimitBytes: QUEUE_LIMIT_BYTES }, 0);
    }

    static create(deployment: ReplayDeployment, events: EventQueue): InstanceModel {
        return new InstanceModel(deployment, events);
    }

    /** Statements running or waiting. */
    get outstanding(): number {
        return this.requests.size;
    }

    submit(request: HeldRequest, nowMs: number): void {
        const id = this.nextId++;
        this.requests.set(id, request);
        const { rank, deadlineAtMs, serviceTimeMs } = request;
        this.offered.push({ rank, atMs: nowMs, lengthMs: serviceTimeMs });
        const item = { id, rank, deadlineAtMs, sizeBytes: REQUEST_BYTES, isPinned: false };
        this.apply(stepAdmission(this.admission, { kind: AdmissionEventKind.Arrived, request: item }, nowMs), nowMs);
    }

    private apply(actions: ReturnType<typeof stepAdmission>, nowMs: number): void {
        for (const action of actions) {
            if (action.kind === AdmissionActionKind.Start) {
                this.start(action.id, nowMs);
            }
            else if (action.kind === AdmissionActionKind.Refuse) {
                this.take(action.id).onRefused(nowMs);
            }
        }
    }

    private start(id: number, startedAtMs: number): void {
        const { rank, serviceTimeMs } = this.requests.get(id)!;
        this.events.at(startedAtMs + serviceTimeMs, nowMs => {
            this.used.push({ rank, atMs: nowMs, lengthMs: serviceTimeMs });
            this.take(id).onFinished(nowMs);
            this.apply(stepAdmission(this.admission, { kind: AdmissionEventKind.Finished, id }, nowMs), nowMs);
        });
    }

    private take(id: number): HeldRequest {
        const request = this.requests.get(id)!;
        this.requests.delete(id);
        return request;
    }
}
