/** Settings of one controller process. */
export interface ControllerSettings {
    /** Name of the VM, as in the platform's list. */
    readonly vm: string;
    readonly failureDomain: string;
    /** Address at which other VMs reach this one. */
    readonly host: string;
    /** TCP port of the controller, the same on all VMs. */
    readonly controllerPort: number;
    /** TCP port of the proxy's peer service on this VM. */
    readonly peerPort: number;
    /** Controllers to join by, as "host:port", when the platform's list cannot be had. */
    readonly seeds: readonly string[];
    readonly platformUrl: string;
    readonly platformTimeoutMs: number;
    /** Time that a graceful shutdown may take. */
    readonly drainDeadlineMs: number;
    /** TCP port for operators' commands; undefined for none. */
    readonly operatorPort?: number;
}

const port = { type: "integer", minimum: 1, maximum: 65_535 } as const;
const name = { type: "string", minLength: 1 } as const;

/** JSON schema of `ControllerSettings`. */
export const controllerSettingsSchema = {
    type: "object",
    additionalProperties: false,
    required: ["vm", "failureDomain", "host", "controllerPort", "peerPort", "platformUrl"],
    properties: {
        vm: name,
        failureDomain: name,
        host: name,
        controllerPort: port,
        peerPort: port,
        seeds: { type: "array", items: { type: "string", pattern: "^.+:[0-9]+$" }, default: [] },
        platformUrl: { type: "string", pattern: "^https?://" },
        platformTimeoutMs: { type: "integer", minimum: 1, default: 1_000 },
        operatorPort: port,
        drainDeadlineMs: { type: "integer", minimum: 0, default: 30_000 },
    },
} as const;
