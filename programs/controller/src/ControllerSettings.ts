/** Settings of a controller process. */
export interface ControllerSettings {
    /** Name of the VM in the platform's list. */
    readonly vm: string;
    readonly failureDomain: string;
    /** Address at which other VMs reach this one. */
    readonly host: string;
    /** TCP port of the controller, the same on all VMs. */
    readonly controllerPort: number;
    /** TCP port of the proxy's peer service on this VM. */
    readonly peerPort: number;
    /** TCP port for operators' commands; without it the controller accepts none. */
    readonly operatorPort?: number;
    /** "host:port" of controllers through which this one joins, also when the platform's list is not available. */
    readonly seeds: readonly string[];
    /** "http://host:port" of the platform. */
    readonly platformUrl: string;
    readonly platformTimeoutMs: number;
    /** Time limit of a graceful shutdown. */
    readonly drainDeadlineMs: number;
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
        operatorPort: port,
        seeds: { type: "array", items: { type: "string", pattern: "^.+:[0-9]+$" }, default: [] },
        platformUrl: { type: "string", pattern: "^https?://" },
        platformTimeoutMs: { type: "integer", minimum: 1, default: 1_000 },
        drainDeadlineMs: { type: "integer", minimum: 0, default: 30_000 },
    },
} as const;
