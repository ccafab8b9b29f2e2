import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Configuration, ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { ConfigProblem } from "./ConfigFile.ts";
import { appendPointer } from "./jsonPointer.ts";
import type { OriginMap } from "./OriginMap.ts";

type Finding = readonly [path: string, message: string];

/** Checks that all names which a configuration refers to exist and that none stands twice. */
export const checkReferences = (configuration: Configuration, origins: OriginMap): ConfigProblem[] => {
    const findings = [
        ...Object.entries(configuration.services).flatMap(([name, service]) =>
            checkService(appendPointer("/services", name), service, configuration)
        ),
        ...checkInstances(configuration),
        ...checkLinks(configuration),
    ];
    return findings.map(([path, message]) => ({
        code: ResultCode.ConfigurationInvalid,
        file: origins.findFiles(path),
        path,
        rule: "reference",
        message,
    }));
};

const checkService = (path: string, service: ServiceConfiguration, configuration: Configuration): Finding[] => {
    const ranks = service.ranks.map(({ name }) => name);
    const regions = Object.values(configuration.failureDomains);
    return [
        ...unless(ranks.includes(service.defaultRank), `${path}/defaultRank`, `there is no rank ${service.defaultRank}`),
        ...unless(new Set(ranks).size === ranks.length, `${path}/ranks`, "a rank's name stands twice"),
        ...unless(
            Object.hasOwn(service.readKinds, service.defaultReadKind),
            `${path}/defaultReadKind`,
            `there is no kind of read ${service.defaultReadKind}`,
        ),
        ...service.groups.flatMap((group, index) =>
            unless(Object.hasOwn(configuration.groups, group), `${path}/groups/${index}`, `there is no group ${group}`)
        ),
        ...(service.linkShares ?? []).flatMap(({ rank, fromRegion, toRegion }, index) => [
            ...unless(ranks.includes(rank), `${path}/linkShares/${index}/rank`, `there is no rank ${rank}`),
            ...unless(regions.includes(fromRegion), `${path}/linkShares/${index}/fromRegion`, `there is no region ${fromRegion}`),
            ...unless(regions.includes(toRegion), `${path}/linkShares/${index}/toRegion`, `there is no region ${toRegion}`),
        ]),
    ];
};

const checkInstances = (configuration: Configuration): Finding[] =>
    Object.entries(configuration.groups).flatMap(([group, { instances }]) =>
        Object.entries(instances).flatMap(([name, { failureDomain }]) =>
            unless(
                Object.hasOwn(configuration.failureDomains, failureDomain),
                `${appendPointer(appendPointer("/groups", group) + "/instances", name)}/failureDomain`,
                `there is no failure domain ${failureDomain}`,
            )
        )
    );

const checkLinks = (configuration: Configuration): Finding[] => {
    const regions = Object.values(configuration.failureDomains);
    const pairs = configuration.links.map(({ fromRegion, toRegion }) => `${fromRegion} ${toRegion}`);
    return configuration.links.flatMap(({ fromRegion, toRegion }, index) => [
        ...unless(regions.includes(fromRegion), `/links/${index}/fromRegion`, `there is no region ${fromRegion}`),
        ...unless(regions.includes(toRegion), `/links/${index}/toRegion`, `there is no region ${toRegion}`),
        ...unless(fromRegion !== toRegion, `/links/${index}`, "a link joins two regions"),
        ...unless(pairs.indexOf(pairs[index]!) === index, `/links/${index}`, "the pair of regions stands twice"),
    ]);
};

const unless = (condition: boolean, path: string, message: string): Finding[] => condition ? [] : [[path, message]];
