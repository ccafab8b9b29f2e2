import { chooseGroup } from "@pomeloturn/choose-instance/chooseGroup";
import { chooseInstance, type ReadRequirement } from "@pomeloturn/choose-instance/chooseInstance";
import { type FreshnessProof, proveFreshness } from "@pomeloturn/choose-instance/proveFreshness";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import { type ForwardRequest, RequestMode } from "@pomeloturn/types/Request";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { addTransactionControl } from "./addTransactionControl.ts";
import { findRank, findReadKind, findService } from "./findAttributes.ts";
import type { SessionContext } from "./sessionMessages.ts";
import type { CurrentRequest, RequestUnit, SessionState, StatementAttributes } from "./SessionState.ts";
import { throwIfWriteLost } from "./throwIfWriteLost.ts";

const UNCONDITIONAL_PROOF: FreshnessProof = {
    requiredPosition: { term: 0, position: 0 },
    validUntilMs: Infinity,
    isPositionReported: true,
};

/** Instance that a request is sent to, and what its answer has to prove. */
interface Route {
    readonly group: string;
    readonly instance: string;
    readonly mode: RequestMode;
    readonly proof: FreshnessProof;
}

/** Statement classes whose request id is recorded together with the write. */
const RECORDED_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([StatementClass.Write, StatementClass.Mixed]);

/**
 * Plans the first attempt of a request.
 *
 * @throws PomeloturnError with `UnknownRank`, `UnknownReadKind`, `NoInstance`, `WriteLost` or `UnsupportedStatement`
 */
export const planRequest = (state: SessionState, unit: RequestUnit, context: SessionContext, nowMs: number): CurrentRequest => {
    const service = findService(state.service, context.view);
    const attributes = { ...state.attributes, ...unit.attributes };
    const rank = findRank(service, attributes);
    const excludedInstances = new Set<string>();
    const route = planRoute(state, unit, attributes, service, context, excludedInstances, nowMs);
    const deadlineLeftMs = service.ranks[rank]!.deadlineMs;
    const enclosed = addTransactionControl(unit, state.transaction);
    const base = {
        requestId: context.takeRequestId(),
        attempt: 1,
        service: state.service,
        rank,
        idempotencyKey: getIdempotencyKey(unit, attributes),
        maximumAgeMs: findReadKind(service, attributes).maximumAgeMs ?? 0,
        messages: Buffer.concat(enclosed.messages),
        transactionId: state.transaction?.id ?? `${state.sessionId}-${state.nextTransactionNumber++}`,
    };
    return {
        unit,
        startedAtMs: nowMs,
        deadlineAtMs: nowMs + deadlineLeftMs,
        rank,
        request: routeRequest(base, route, state, context, deadlineLeftMs),
        vm: state.transaction?.vm ?? getHolder(route, context),
        excludedInstances,
        isAnswerRelayed: false,
        freshnessExpiresAtMs: route.proof.validUntilMs,
        retryAtMs: undefined,
        hiddenTags: enclosed.hiddenTags,
        injectedParses: [...unit.injectedParses],
    };
};

/** Plans the next attempt of a failed request; updates `current` in place. @throws the same errors as `planRequest` */
export const replanRequest = (state: SessionState, current: CurrentRequest, context: SessionContext, nowMs: number): void => {
    const service = findService(state.service, context.view);
    const attributes = { ...state.attributes, ...current.unit.attributes };
    const route = planRoute(state, current.unit, attributes, service, context, current.excludedInstances, nowMs);
    const base = { ...current.request, attempt: current.request.attempt + 1 };
    current.request = routeRequest(base, route, state, context, Math.max(0, current.deadlineAtMs - nowMs));
    current.vm = getHolder(route, context);
    current.freshnessExpiresAtMs = route.proof.validUntilMs;
    current.injectedParses.splice(0, current.injectedParses.length, ...current.unit.injectedParses);
};

/** Whether a unit only reads, so that it may be repeated. */
export const isRead = (unit: RequestUnit): boolean => unit.statementClass === StatementClass.Read && !unit.isFlush;

/** Returns the request id under which a write is recorded; empty if it is not recorded. */
const getIdempotencyKey = (unit: RequestUnit, attributes: StatementAttributes): string => {
    const requestId = attributes.requestId ?? "";
    if (requestId === "" || !RECORDED_CLASSES.has(unit.statementClass)) {
        return "";
    }
    if (unit.statementClass === StatementClass.Mixed || unit.isFlush) {
        throw PomeloturnError.create(
            ResultCode.UnsupportedStatement,
            "a request id cannot be combined with transaction control in the same message",
        );
    }
    return requestId;
};

type UnroutedRequest = Omit<ForwardRequest, "group" | "instance" | "mode" | "term" | "requiredPosition" | "deadlineLeftMs">;

const routeRequest = (
    base: UnroutedRequest,
    { group, instance, mode, proof }: Route,
    state: SessionState,
    context: SessionContext,
    deadlineLeftMs: number,
): ForwardRequest => ({
    // Listed field by field, because spreading an object of unknown shape costs several microseconds per statement.
    requestId: base.requestId,
    attempt: base.attempt,
    service: base.service,
    rank: base.rank,
    maximumAgeMs: base.maximumAgeMs,
    idempotencyKey: base.idempotencyKey,
    messages: base.messages,
    group,
    instance,
    mode,
    deadlineLeftMs,
    term: state.transaction?.term ?? getGroupView(group, context).term,
    requiredPosition: proof.requiredPosition,
    transactionId: mode === RequestMode.PrimaryWrite || mode === RequestMode.TransactionStep ? base.transactionId : "",
});

const planRoute = (
    state: SessionState,
    unit: RequestUnit,
    attributes: StatementAttributes,
    service: ServiceConfiguration,
    context: SessionContext,
    excluded: ReadonlySet<string>,
    nowMs: number,
): Route => {
    if (state.transaction !== undefined) {
        const { group, instance } = state.transaction;
        return { group, instance, mode: RequestMode.TransactionStep, proof: UNCONDITIONAL_PROOF };
    }
    const group = chooseGroup(service.groups, attributes.key ?? "");
    const view = getGroupView(group, context);
    throwIfWriteLost(state, group, view);
    const position = state.token.positions.get(group);
    const proof = { ...UNCONDITIONAL_PROOF, requiredPosition: position ?? UNCONDITIONAL_PROOF.requiredPosition };
    if (!isRead(unit)) {
        return { group, instance: view.primary, mode: RequestMode.PrimaryWrite, proof };
    }
    if (position === undefined && !state.token.isComplete) {
        return { group, instance: view.primary, mode: RequestMode.PrimaryRead, proof };
    }
    const { maximumAgeMs } = findReadKind(service, attributes);
    const sinceWriteMs = nowMs - (state.lastWriteAtMs.get(group) ?? nowMs);
    return routeRead({ group, position, maximumAgeMs, excluded }, sinceWriteMs, proof, context, nowMs);
};

/** Routes a read of a session whose last write to the group is known. */
const routeRead = (
    read: ReadRequirement,
    sinceWriteMs: number,
    primaryProof: FreshnessProof,
    context: SessionContext,
    nowMs: number,
): Route => {
    const { group } = read;
    const view = getGroupView(group, context);
    const instance = chooseInstance(read, {
        configuration: context.view.configuration,
        groupView: view,
        statuses: context.statuses,
        statistics: context.statistics,
        failureDomain: context.failureDomain,
        sinceWriteMs,
        nowMs,
    });
    if (instance === undefined) {
        throw PomeloturnError.create(ResultCode.NoInstance, group);
    }
    if (instance === view.primary) {
        return { group, instance, mode: RequestMode.PrimaryRead, proof: primaryProof };
    }
    const proof = proveFreshness(read, context.statuses.get(instanceKey(group, instance)), view, nowMs);
    if (proof === undefined) {
        throw PomeloturnError.create(ResultCode.FreshnessLapsed, `${group}/${instance}`);
    }
    return { group, instance, mode: RequestMode.ReplicaRead, proof };
};

const getGroupView = (group: string, context: SessionContext): GroupView => {
    const view = context.view.groups[group];
    if (view === undefined) {
        throw PomeloturnError.create(ResultCode.NoInstance, group);
    }
    return view;
};

const getHolder = (route: Route, context: SessionContext): string => {
    const vm = getGroupView(route.group, context).holders[route.instance];
    if (vm === undefined) {
        throw PomeloturnError.create(ResultCode.NoInstance, `instance ${route.group}/${route.instance} has no holder`);
    }
    return vm;
};
