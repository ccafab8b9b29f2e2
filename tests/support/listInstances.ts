import type { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";

/** Instances that are known, as "id" or "id draining", in order. */
export const listInstances = ({ services }: ServiceDirectory): string[] =>
    [...services.values()]
        .flatMap(({ instances }) => [...instances.values()])
        .map(({ entry }) => entry.isDraining ? `${entry.id} draining` : entry.id)
        .sort();
