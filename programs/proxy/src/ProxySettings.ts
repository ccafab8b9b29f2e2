import type { ControlView } from "@pomeloturn/types/ControlView";

/** Settings of one proxy process. */
export interface ProxySettings {
    /** Name of the VM. */
    readonly vm: string;
    readonly failureDomain: string;
    readonly callerHost: string;
    readonly callerPort: number;
    readonly peerHost: string;
    readonly peerPort: number;
    readonly callerLimit: number;
    /** Time limit of a graceful shutdown. */
    readonly drainDeadlineMs?: number;
    /** TCP port of this VM's controller, which sends the view; undefined to use the fixed `view`. */
    readonly controllerPort?: number;
    /** TCP port for operator commands; undefined to accept none. */
    readonly operatorPort?: number;
    /** Base URL of the platform, which grants leases for paid links; undefined to charge no link. */
    readonly platformUrl?: string;
    /** A fixed view, for a proxy that runs without a controller. */
    readonly view?: ControlView;
}

const port = { type: "integer", minimum: 0, maximum: 65_535 } as const;
const name = { type: "string", minLength: 1 } as const;

/** JSON schema of `ProxySettings`. */
export const proxySettingsSchema = {
    type: "object",
    additionalProperties: false,
    required: ["vm", "failureDomain", "callerHost", "callerPort", "peerHost", "peerPort"],
    properties: {
        vm: name,
        failureDomain: name,
        callerHost: name,
        callerPort: port,
        peerHost: name,
        peerPort: port,
        callerLimit: { type: "integer", minimum: 1, default: 4_000 },
        drainDeadlineMs: { type: "integer", minimum: 0 },
        controllerPort: port,
        operatorPort: port,
        platformUrl: name,
        view: { type: "object" },
    },
} as const;
