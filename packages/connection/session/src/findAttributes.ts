import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ReadKindConfiguration, ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { StatementAttributes } from "./SessionState.ts";

/** Finds the configuration of a service. @throws PomeloturnError with `UnknownService` */
export const findService = (name: string, view: ControlView): ServiceConfiguration => {
    const service = view.configuration.services[name];
    if (service === undefined) {
        throw PomeloturnError.create(ResultCode.UnknownService, name);
    }
    return service;
};

/**
 * Finds the rank of a statement, or the default rank of the service.
 *
 * @returns index of the rank, 0 for the most urgent
 * @throws PomeloturnError with `UnknownRank`
 */
export const findRank = (service: ServiceConfiguration, attributes: StatementAttributes): number => {
    const name = attributes.rank ?? service.defaultRank;
    const rank = service.ranks.findIndex(each => each.name === name);
    if (rank < 0) {
        throw PomeloturnError.create(ResultCode.UnknownRank, name);
    }
    return rank;
};

/** Finds the read kind of a statement, or the default one of the service. @throws PomeloturnError with `UnknownReadKind` */
export const findReadKind = (service: ServiceConfiguration, attributes: StatementAttributes): ReadKindConfiguration => {
    const name = attributes.readKind ?? service.defaultReadKind;
    const kind = Object.hasOwn(service.readKinds, name) ? service.readKinds[name] : undefined;
    if (kind === undefined) {
        throw PomeloturnError.create(ResultCode.UnknownReadKind, name);
    }
    return kind;
};
