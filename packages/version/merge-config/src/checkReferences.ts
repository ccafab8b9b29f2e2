import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Configuration, ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { ConfigProblem } from "./ConfigFile.ts";
import { appendPointer } from "./jsonPointer.ts";
import type { OriginMap } from "./OriginMap.ts";

type ReferenceProblem = readonly [path: string, message: string];

/** Checks that every referenced name exists, and that rank names and link directions are unique. */
export const checkReferences = (configuration: Configuration, origins: OriginMap): ConfigProblem[] => {
    const problems = [
        ...Object.entries(configuration.services).flatMap(([name, service]) =>
            checkService(appendPointer("/services", name), service, configuration)
        ),
        ...checkInstances(configuration),
        ...checkLinks(configuration),
    ];
    return problems.map(([path, message]) => ({
        code: ResultCode.ConfigurationInvalid,
        file: origins.findFiles(path),
        path,
        rule: "reference",
        message,
    }));
};

const checkService = (path: string, service: ServiceConfiguration, configuration: Configuration): ReferenceProblem[] => {
    const ranks = service.ranks.map(({ name }) => name);
    const regions = Object.values(configuration.failureDomains);
    return [
        ...problemUnless(ranks.includes(service.defaultRank), `${path}/defaultRank`, `there is no rank ${service.defaultRank}`),
        ...problemUnless(new Set(ranks).size === ranks.length, `${path}/ranks`, "a rank name occurs twice"),
        ...problemUnless(
            Object.hasOwn(service.readKinds, service.defaultReadKind),
            `${path}/defaultReadKind`,
            `there is no read kind ${service.defaultReadKind}`,
        ),
        ...service.groups.flatMap((group, index) =>
            problemUnless(Object.hasOwn(configuration.groups, group), `${path}/groups/${index}`, `there is no group ${group}`)
        ),
        ...(service.linkShares ?? []).flatMap(({ rank, fromRegion, toRegion }, index) => [
            ...problemUnless(ranks.includes(rank), `${path}/linkShares/${index}/rank`, `there is no rank ${rank}`),
            ...problemUnless(regions.includes(fromRegion), `${path}/linkShares/${index}/fromRegion`, `there is no region ${fromRegion}`),
            ...problemUnless(regions.includes(toRegion), `${path}/linkShares/${index}/toRegion`, `there is no region ${toRegion}`),
        ]),
    ];
};

const checkInstances = (configuration: Configuration): ReferenceProblem[] =>
    Object.entries(configuration.groups).flatMap(([group, { instances }]) =>
        Object.entries(instances).flatMap(([name, { failureDomain }]) =>
            problemUnless(
                Object.hasOwn(configuration.failureDomains, failureDomain),
                `${appendPointer(appendPointer("/groups", group) + "/instances", name)}/failureDomain`,
                `there is no failure domain ${failureDomain}`,
            )
        )
    );

const checkLinks = (configuration: Configuration): ReferenceProblem[] => {
    const regions = Object.values(configuration.failureDomains);
    const pairs = configuration.links.map(({ fromRegion, toRegion }) => `${fromRegion} ${toRegion}`);
    return configuration.links.flatMap(({ fromRegion, toRegion }, index) => [
        ...problemUnless(regions.includes(fromRegion), `/links/${index}/fromRegion`, `there is no region ${fromRegion}`),
        ...problemUnless(regions.includes(toRegion), `/links/${index}/toRegion`, `there is no region ${toRegion}`),
        ...problemUnless(fromRegion !== toRegion, `/links/${index}`, `a link must connect two regions, but both ends are in ${fromRegion}`),
        ...problemUnless(
            pairs.indexOf(pairs[index]!) === index,
            `/links/${index}`,
            `the link from ${fromRegion} to ${toRegion} is defined twice`,
        ),
    ]);
};

const problemUnless = (condition: boolean, path: string, message: string): ReferenceProblem[] => condition ? [] : [[path, message]];
