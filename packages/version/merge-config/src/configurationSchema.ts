import { AcknowledgeAfter } from "@pomeloturn/types/Configuration";

const MAXIMUM_DURATION_MS = 86_400_000;

const name = { type: "string", pattern: "^[a-z][a-z0-9-]{0,62}$" } as const;
const text = { type: "string", minLength: 1 } as const;
const count = { type: "integer", minimum: 1, maximum: 100_000 } as const;
const amount = { type: "number", minimum: 0 } as const;
const duration = { type: "number", exclusiveMinimum: 0, maximum: MAXIMUM_DURATION_MS } as const;

const object = (properties: Readonly<Record<string, object>>, optional: readonly string[] = []): object => ({
    type: "object",
    additionalProperties: false,
    required: Object.keys(properties).filter(key => !optional.includes(key)),
    properties,
});

const record = (values: object): object => ({ type: "object", propertyNames: name, additionalProperties: values });

const rank = object({
    name,
    targetLatencyMs: duration,
    floorShare: { type: "number", minimum: 0, maximum: 1 },
    worth: amount,
    deadlineMs: duration,
});

const linkShare = object({ fromRegion: name, toRegion: name, rank: name, bytesPerSecond: amount, bytesPerMonth: amount });

const service = object({
    user: text,
    password: text,
    tokenKey: text,
    groups: { type: "array", minItems: 1, uniqueItems: true, items: name },
    ranks: { type: "array", minItems: 1, items: rank },
    defaultRank: name,
    readKinds: record(object({ maximumAgeMs: duration }, ["maximumAgeMs"])),
    defaultReadKind: name,
    acknowledgeAfter: { enum: Object.values(AcknowledgeAfter) },
    linkShares: { type: "array", items: linkShare },
}, ["linkShares"]);

const instance = object({
    host: text,
    port: { type: "integer", minimum: 1, maximum: 65_535 },
    failureDomain: name,
    slots: count,
    connections: count,
});

const group = object({ database: text, user: text, password: text, instances: { ...record(instance), minProperties: 1 } });

const link = object({ fromRegion: name, toRegion: name, approvedBytesPerSecond: amount, approvedBytesPerMonth: amount });

/** JSON schema of `Configuration`. Unknown properties are rejected. */
export const configurationSchema = object({
    failureDomains: { ...record(name), minProperties: 1 },
    latency: object({ betweenFailureDomainsMs: amount, betweenRegionsMs: amount }),
    services: record(service),
    groups: record(group),
    links: { type: "array", items: link },
});
