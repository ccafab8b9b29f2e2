import type { ListedVm } from "@pomeloturn/types/Platform";
import type { DatabaseGroupSettings } from "./database/DatabaseGroup.ts";

/** Settings of the process that simulates the platform and the database groups. */
export interface StandinSettings {
    readonly platformHost: string;
    readonly platformPort: number;
    readonly groups: readonly DatabaseGroupSettings[];
    readonly vms: readonly ListedVm[];
}

const port = { type: "integer", minimum: 1, maximum: 65_535 } as const;
const name = { type: "string", minLength: 1 } as const;
const nonNegativeNumber = { type: "number", minimum: 0 } as const;

/** JSON schema of `StandinSettings`. */
export const standinSettingsSchema = {
    type: "object",
    additionalProperties: false,
    required: ["platformHost", "platformPort", "groups"],
    properties: {
        platformHost: name,
        platformPort: port,
        groups: {
            type: "array",
            items: {
                type: "object",
                additionalProperties: false,
                required: ["name", "host", "primary", "instances"],
                properties: {
                    name,
                    host: name,
                    primary: name,
                    instances: { type: "object", additionalProperties: port },
                    replicationLagMs: { ...nonNegativeNumber, default: 5 },
                    statementTimeMs: { ...nonNegativeNumber, default: 0 },
                    slots: { type: "integer", minimum: 1, default: 2 },
                },
            },
        },
        vms: { type: "array", default: [], items: { type: "object" } },
    },
} as const;
