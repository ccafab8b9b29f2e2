import { type AdmissionState, createAdmissionState } from "@pomeloturn/admit-request/AdmissionState";
import { AdmissionActionKind, AdmissionEventKind, stepAdmission } from "@pomeloturn/admit-request/stepAdmission";
import type { EventQueue } from "./EventQueue.ts";
import type { ReplayDeployment } from "./ReplayDeployment.ts";

const QUEUE_LIMIT_REQUESTS = 500;
const QUEUE_LIMIT_BYTES = 16 * 1024 * 1024;
const REQUEST_BYTES = 200;

/** A request that was submitted to the holder of an instance. */
export interface SubmittedRequest {
    readonly rank: number;
    readonly deadlineAtMs: number;
    readonly serviceTimeMs: number;
    onFinished(nowMs: number): void;
    onRefused(nowMs: number): void;
}

/** Time for which one statement occupies a slot. */
export interface SlotTime {
    readonly rank: number;
    readonly atMs: number;
    readonly durationMs: number;
}

/** Model of an instance with its holder: real admission decisions, and statements that occupy a slot for their service time. */
export class InstanceModel {
    /** Slot time that was requested; `atMs` is the arrival. */
    readonly offered: SlotTime[] = [];
    /** Slot time that was used; `atMs` is the end of the statement. */
    readonly used: SlotTime[] = [];
    private readonly admission: AdmissionState;
    private readonly requests = new Map<number, SubmittedRequest>();
    private nextId = 1;

    private constructor(deployment: ReplayDeployment, private readonly events: EventQueue) {
        const { slots, ranks } = deployment;
        this.admission = createAdmissionState({ slots, ranks, queueLimit: QUEUE_LIMIT_REQUESTS, queueLimitBytes: QUEUE_LIMIT_BYTES }, 0);
    }

    static create(deployment: ReplayDeployment, events: EventQueue): InstanceModel {
        return new InstanceModel(deployment, events);
    }

    /** Number of statements that are running or queued. */
    get outstanding(): number {
        return this.requests.size;
    }

    submit(request: SubmittedRequest, nowMs: number): void {
        const id = this.nextId++;
        this.requests.set(id, request);
        const { rank, deadlineAtMs, serviceTimeMs } = request;
        this.offered.push({ rank, atMs: nowMs, durationMs: serviceTimeMs });
        const item = { id, rank, deadlineAtMs, sizeBytes: REQUEST_BYTES, isPinned: false };
        this.applyActions(stepAdmission(this.admission, { kind: AdmissionEventKind.Arrived, request: item }, nowMs), nowMs);
    }

    private applyActions(actions: ReturnType<typeof stepAdmission>, nowMs: number): void {
        for (const action of actions) {
            if (action.kind === AdmissionActionKind.Start) {
                this.start(action.id, nowMs);
            }
            else if (action.kind === AdmissionActionKind.Refuse) {
                this.removeRequest(action.id).onRefused(nowMs);
            }
        }
    }

    private start(id: number, startedAtMs: number): void {
        const { rank, serviceTimeMs } = this.requests.get(id)!;
        this.events.schedule(startedAtMs + serviceTimeMs, nowMs => {
            this.used.push({ rank, atMs: nowMs, durationMs: serviceTimeMs });
            this.removeRequest(id).onFinished(nowMs);
            this.applyActions(stepAdmission(this.admission, { kind: AdmissionEventKind.Finished, id }, nowMs), nowMs);
        });
    }

    private removeRequest(id: number): SubmittedRequest {
        const request = this.requests.get(id)!;
        this.requests.delete(id);
        return request;
    }
}
