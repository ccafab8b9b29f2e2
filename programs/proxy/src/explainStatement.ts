import type { SessionToken } from "@pomeloturn/session-token/SessionToken";
import { buildUnit } from "@pomeloturn/session/buildUnit";
import { planRequest, replanRequest } from "@pomeloturn/session/planRequest";
import type { SessionContext } from "@pomeloturn/session/sessionMessages";
import { createSession, type CurrentRequest, type SessionState, type StatementAttributes } from "@pomeloturn/session/SessionState";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import { RequestMode } from "@pomeloturn/types/Request";
import type { InstanceExplanation, StatementExplanation } from "@pomeloturn/types/StatementExplanation";
import { serialize } from "pg-protocol";

const SESSION_ID = "explain";

const PRIMARY_READ_REASONS: Readonly<Record<string, string>> = {
    withToken: "no replica is known to have the data that the read requires",
    withoutToken: "no token was presented, so the previous writes of the session are unknown",
};

const reasonByMode: Readonly<Record<RequestMode, (token: SessionToken | undefined) => string>> = {
    [RequestMode.ReplicaRead]: () => "a replica is known to have the data that the read requires",
    [RequestMode.PrimaryRead]: token => PRIMARY_READ_REASONS[token === undefined ? "withoutToken" : "withToken"]!,
    [RequestMode.PrimaryWrite]: () => "writes and transactions run at the primary",
    [RequestMode.TransactionStep]: () => "the statement belongs to a transaction that is open at the primary",
};

/** A statement to explain, as a caller would send it. */
export interface ExplainRequest {
    readonly service: string;
    readonly sql: string;
    /** Undefined if no token was presented, so that the session's previous writes are unknown. */
    readonly token: SessionToken | undefined;
    /** Attributes of the session. */
    readonly attributes: StatementAttributes;
}

/**
 * Plans a statement with the functions that plan the statements of callers, without sending it.
 *
 * @throws PomeloturnError with the result code that a caller would get
 */
export const explainStatement = (request: ExplainRequest, context: SessionContext, nowMs: number): StatementExplanation => {
    const state = createSession(SESSION_ID, request.service, request.token, request.attributes);
    const message = Buffer.from(serialize.query(request.sql));
    const unit = buildUnit([message], state.preparedStatements, text => context.classify(text));
    const planned = planRequest(state, unit, context, nowMs);
    const { group, instance, mode, requiredPosition, maximumAgeMs, rank } = planned.request;
    const instances = Object.keys(context.view.configuration.groups[group]!.instances);
    return {
        statementClass: unit.statementClass,
        rank: context.view.configuration.services[request.service]!.ranks[rank]!.name,
        group,
        instance,
        vm: planned.vm,
        reason: reasonByMode[mode](request.token),
        requiredPosition,
        maximumAgeMs,
        instances: Object.fromEntries(instances.map(name => [
            name,
            explainInstance(name, { state, planned: { ...planned }, chosen: instance, names: instances }, context, nowMs),
        ])),
    };
};

interface Plan {
    readonly state: SessionState;
    readonly planned: CurrentRequest;
    readonly chosen: string;
    readonly names: readonly string[];
}

const explainInstance = (name: string, plan: Plan, context: SessionContext, nowMs: number): InstanceExplanation => {
    const { group } = plan.planned.request;
    const { primary, holders } = context.view.groups[group]!;
    return {
        failureDomain: context.view.configuration.groups[group]!.instances[name]!.failureDomain,
        holder: holders[name],
        isPrimary: name === primary,
        isChosen: name === plan.chosen,
        refusal: findRefusal(name, plan, context, nowMs),
        status: context.statuses.get(instanceKey(group, name)),
    };
};

/** Plans the statement again with all other instances excluded. @returns undefined if the instance could serve it; otherwise why not */
const findRefusal = (name: string, { state, planned, names }: Plan, context: SessionContext, nowMs: number): string | undefined => {
    const excludedInstances = new Set(names.filter(other => other !== name));
    const current: CurrentRequest = { ...planned, excludedInstances };
    try {
        replanRequest(state, current, context, nowMs);
    }
    catch (error) {
        return (error as Error).message;
    }
    return current.request.instance === name ? undefined : "the statement runs at the primary only";
};
