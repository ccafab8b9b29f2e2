/** Settings of the command line. */
export interface CliSettings {
    /** Name of the operator, shown in the configuration history. */
    readonly operator: string;
    /** "http://host:port" of the platform. */
    readonly platformUrl: string;
    /** Time limit of one request to the platform or to a process. */
    readonly timeoutMs: number;
    /** Addresses at which the controllers accept operator commands, "host:port" by VM. */
    readonly controllers: Readonly<Record<string, string>>;
    /** Addresses at which the proxies accept operator commands, "host:port" by VM. */
    readonly proxies: Readonly<Record<string, string>>;
}

const DEFAULT_TIMEOUT_MS = 2_000;

const addressesSchema = {
    type: "object",
    additionalProperties: { type: "string", pattern: "^[^:]+:[0-9]{1,5}$" },
    default: {},
} as const;

/** JSON schema of `CliSettings`. */
export const cliSettingsSchema = {
    type: "object",
    additionalProperties: false,
    required: ["operator", "platformUrl"],
    properties: {
        operator: { type: "string", minLength: 1 },
        platformUrl: { type: "string", pattern: "^https?://" },
        timeoutMs: { type: "integer", minimum: 1, default: DEFAULT_TIMEOUT_MS },
        controllers: addressesSchema,
        proxies: addressesSchema,
    },
} as const;
