import { createAdmissionState } from "@pomeloturn/admit-request/AdmissionState";
import { AdmissionEventKind, stepAdmission } from "@pomeloturn/admit-request/stepAdmission";
import { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import { StatementClassifier } from "@pomeloturn/classify-statement/StatementClassifier";
import { createRetryBudget } from "@pomeloturn/plan-retry/retryBudget";
import { EMPTY_TOKEN } from "@pomeloturn/session-token/SessionToken";
import { type SessionContext, SessionEventKind } from "@pomeloturn/session/sessionMessages";
import { createSession } from "@pomeloturn/session/SessionState";
import { stepSession } from "@pomeloturn/session/stepSession";
import { createSampleConfiguration, SAMPLE_GROUP, SAMPLE_SERVICE } from "@pomeloturn/standin/sampleConfiguration";
import type { ControlView, GroupView } from "@pomeloturn/types/ControlView";
import { serialize } from "pg-protocol";

const GROUP_COUNTS = [3, 560];
const WARM_UP_COUNT = 20_000;
const MEASURED_COUNT = 20_000;
const PORTS = [1, 2, 3];
const NEVER_EXPIRES_AT_MS = 1e15;

const createView = (groupCount: number): ControlView => {
    const sample = createSampleConfiguration(PORTS);
    const names = Array.from({ length: groupCount }, (_each, index) => `log-${index + 1}`);
    const service = { ...sample.services[SAMPLE_SERVICE]!, groups: names };
    const group: GroupView = {
        term: 1,
        primary: "one",
        history: [{ term: 1, position: 0 }],
        holders: { one: "vm-1", two: "vm-2", three: "vm-3" },
        leaseExpiresAtMs: NEVER_EXPIRES_AT_MS,
    };
    return {
        configVersion: 1,
        configuration: {
            ...sample,
            services: { [SAMPLE_SERVICE]: service },
            groups: Object.fromEntries(names.map(name => [name, sample.groups[SAMPLE_GROUP]!])),
        },
        vms: {},
        groups: Object.fromEntries(names.map(name => [name, group])),
    };
};

const createContext = (view: ControlView, classifier: StatementClassifier): SessionContext => {
    let requestId = 1;
    const retryBudget = createRetryBudget(0);
    return {
        view,
        vm: "vm-1",
        failureDomain: "cluj-a",
        statuses: new Map(),
        statistics: RoutingStatistics.create(),
        retryBudget: () => retryBudget,
        classify: text => classifier.classify(text),
        takeRequestId: () => requestId++,
        random: () => 0.5,
    };
};

/** Creates a function that routes and admits a statement the given number of times. */
const createDecisionLoop = (view: ControlView, context: SessionContext): (count: number) => void => {
    const state = createSession("vm-1-1", SAMPLE_SERVICE, EMPTY_TOKEN, {});
    const { ranks } = view.configuration.services[SAMPLE_SERVICE]!;
    const admission = createAdmissionState({ slots: 2, ranks, queueLimit: 100, queueLimitBytes: 1e6 }, 0);
    const messages = [serialize.query("SELECT value FROM entries WHERE key = 'a' /*rank='lookup',key='a'*/")];
    return count => {
        for (let nowMs = 0; nowMs < count; nowMs++) {
            stepSession(state, { kind: SessionEventKind.Messages, messages }, context, nowMs);
            const id = state.current!.request.requestId;
            const request = { id, rank: 1, deadlineAtMs: nowMs + 1_000, sizeBytes: 100, isPinned: false };
            stepAdmission(admission, { kind: AdmissionEventKind.Arrived, request }, nowMs);
            stepAdmission(admission, { kind: AdmissionEventKind.Finished, id }, nowMs);
            state.current = undefined;
        }
    };
};

const measureWithGroups = (groupCount: number, classifier: StatementClassifier): Record<string, number> => {
    const view = createView(groupCount);
    const run = createDecisionLoop(view, createContext(view, classifier));
    run(WARM_UP_COUNT);
    const beforeBytes = process.memoryUsage().heapUsed;
    const startedAt = process.hrtime.bigint();
    run(MEASURED_COUNT);
    const elapsedNs = Number(process.hrtime.bigint() - startedAt);
    const allocatedBytes = process.memoryUsage().heapUsed - beforeBytes;
    return {
        groupCount,
        nsPerStatement: Math.round(elapsedNs / MEASURED_COUNT),
        bytesPerStatement: Math.round(allocatedBytes / MEASURED_COUNT),
    };
};

/**
 * Measures the time and the allocated memory of routing and admitting a statement. The young generation of the heap
 * has to hold the whole measurement, because a garbage collection would distort the memory figure.
 */
export const decisionCost = async (): Promise<Record<string, number>[]> => {
    const classifier = await StatementClassifier.create();
    return GROUP_COUNTS.map(groupCount => measureWithGroups(groupCount, classifier));
};
