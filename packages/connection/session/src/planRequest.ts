import { chooseGroup } from "@pomeloturn/choose-instance/chooseGroup";
import { chooseInstance } from "@pomeloturn/choose-instance/chooseInstance";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { type ForwardRequest, RequestMode } from "@pomeloturn/types/Request";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import type { SessionContext } from "./sessionMessages.ts";
import type { CurrentRequest, RequestUnit, SessionState, StatementAttributes } from "./SessionState.ts";

const NO_POSITION = { term: 0, position: 0 };

/** Where a request goes and under what conditions. */
interface Route {
    readonly group: string;
    readonly instance: string;
    readonly mode: RequestMode;
}

/**
 * Plans the first attempt of a unit.
 *
 * @throws PomeloturnError with `UnknownRank`, `UnknownReadKind` or `NoInstance`
 */
export const planRequest = (state: SessionState, unit: RequestUnit, context: SessionContext, nowMs: number): CurrentRequest => {
    const service = findService(state, context);
    const attributes = { ...state.attributes, ...unit.attributes };
    const rank = findRank(service, attributes);
    const excluded = new Set<string>();
    const route = planRoute(state, unit, attributes, service, context, excluded);
    const deadlineLeftMs = service.ranks[rank]!.deadlineMs;
    const base = {
        requestId: context.takeRequestId(),
        attempt: 1,
        service: state.service,
        rank,
        idempotencyKey: attributes.requestId ?? "",
        maximumAgeMs: service.readKinds[readKindName(service, attributes)]?.maximumAgeMs ?? 0,
        messages: Buffer.concat(unit.messages),
        transactionId: state.transaction?.id ?? `${state.sessionId}-${state.nextRequestNumber++}`,
    };
    const request = routeRequest(base, route, state, context, deadlineLeftMs);
    return {
        unit,
        startedAtMs: nowMs,
        deadlineAtMs: nowMs + deadlineLeftMs,
        rank,
        request,
        vm: state.transaction?.vm ?? holderOf(route, context),
        excluded,
        isAnswerRelayed: false,
        injectedParses: [...unit.injectedParses],
    };
};

/** Plans the next attempt of a request that failed. @throws as `planRequest` */
export const replanRequest = (state: SessionState, current: CurrentRequest, context: SessionContext, nowMs: number): void => {
    const service = findService(state, context);
    const attributes = { ...state.attributes, ...current.unit.attributes };
    const route = planRoute(state, current.unit, attributes, service, context, current.excluded);
    const base = { ...current.request, attempt: current.request.attempt + 1 };
    current.request = routeRequest(base, route, state, context, Math.max(0, current.deadlineAtMs - nowMs));
    current.vm = holderOf(route, context);
    current.injectedParses.splice(0, current.injectedParses.length, ...current.unit.injectedParses);
};

/** Whether a unit only reads and so may be repeated. */
export const isRead = (unit: RequestUnit): boolean => unit.statementClass === StatementClass.Read;

type UnroutedRequest = Omit<ForwardRequest, "group" | "instance" | "mode" | "term" | "requiredPosition" | "deadlineLeftMs">;

const routeRequest = (
    base: UnroutedRequest,
    route: Route,
    state: SessionState,
    context: SessionContext,
    deadlineLeftMs: number,
): ForwardRequest => ({
    ...base,
    ...route,
    deadlineLeftMs,
    term: state.transaction?.term ?? groupView(route.group, context).term,
    requiredPosition: state.positions.get(route.group) ?? NO_POSITION,
    transactionId: route.mode === RequestMode.PrimaryWrite ? base.transactionId : "",
});

const planRoute = (
    state: SessionState,
    unit: RequestUnit,
    attributes: StatementAttributes,
    service: ServiceConfiguration,
    context: SessionContext,
    excluded: ReadonlySet<string>,
): Route => {
    if (state.transaction !== undefined) {
        const { group, instance } = state.transaction;
        return { group, instance, mode: RequestMode.PrimaryWrite };
    }
    const group = chooseGroup(service.groups, attributes.key ?? "");
    const { primary } = groupView(group, context);
    if (!isRead(unit)) {
        return { group, instance: primary, mode: RequestMode.PrimaryWrite };
    }
    const position = state.positions.get(group);
    if (position === undefined && !state.isPastKnown) {
        return { group, instance: primary, mode: RequestMode.PrimaryRead };
    }
    const maximumAgeMs = service.readKinds[readKindName(service, attributes)]?.maximumAgeMs;
    const instance = chooseInstance({ group, position, maximumAgeMs, excluded }, {
        groupConfiguration: context.view.configuration.groups[group]!,
        groupView: groupView(group, context),
        statuses: context.statuses,
        failureDomain: context.failureDomain,
    });
    if (instance === undefined) {
        throw PomeloturnError.create(ResultCode.NoInstance, group);
    }
    return { group, instance, mode: instance === primary ? RequestMode.PrimaryRead : RequestMode.ReplicaRead };
};

const findService = (state: SessionState, context: SessionContext): ServiceConfiguration => {
    const service = context.view.configuration.services[state.service];
    if (service === undefined) {
        throw PomeloturnError.create(ResultCode.UnknownService, state.service);
    }
    return service;
};

const findRank = (service: ServiceConfiguration, attributes: StatementAttributes): number => {
    const name = attributes.rank ?? service.defaultRank;
    const rank = service.ranks.findIndex(each => each.name === name);
    if (rank < 0) {
        throw PomeloturnError.create(ResultCode.UnknownRank, name);
    }
    return rank;
};

const readKindName = (service: ServiceConfiguration, attributes: StatementAttributes): string => {
    const name = attributes.readKind ?? service.defaultReadKind;
    if (service.readKinds[name] === undefined) {
        throw PomeloturnError.create(ResultCode.UnknownReadKind, name);
    }
    return name;
};

const groupView = (group: string, context: SessionContext): GroupView => {
    const view = context.view.groups[group];
    if (view === undefined) {
        throw PomeloturnError.create(ResultCode.NoInstance, group);
    }
    return view;
};

const holderOf = (route: Route, context: SessionContext): string => {
    const vm = groupView(route.group, context).holders[route.instance];
    if (vm === undefined) {
        throw PomeloturnError.create(ResultCode.NoInstance, `${route.group}/${route.instance} has no holder`);
    }
    return vm;
};
