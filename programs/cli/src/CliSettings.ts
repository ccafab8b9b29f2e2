/** Settings of the operators' command line. */
export interface CliSettings {
    /** Name that the history of the configuration shows. */
    readonly operator: string;
    /** "http://host:port" of the platform. */
    readonly platformUrl: string;
    /** Longest wait for one answer of the platform or of a process. */
    readonly timeoutMs: number;
    /** Operator addresses of the controllers, "host:port" by VM. */
    readonly controllers: Readonly<Record<string, string>>;
    /** Operator addresses of the proxies, "host:port" by VM. */
    readonly proxies: Readonly<Record<string, string>>;
}

const DEFAULT_TIMEOUT_MS = 2_000;

const addresses = {
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
        controllers: addresses,
        proxies: addresses,
    },
} as const;
