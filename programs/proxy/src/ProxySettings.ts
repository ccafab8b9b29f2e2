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
    /** TCP port of this VM's controller, from which the view comes. */
    readonly controllerPort?: number;
    /** TCP port for operators' commands; undefined for none. */
    readonly operatorPort?: number;
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
        controllerPort: port,
        operatorPort: port,
        view: { type: "object" },
    },
} as const;
