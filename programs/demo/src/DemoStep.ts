import type { DemoDeployment } from "./DemoDeployment.ts";

/** Something that must hold, and whether it did. */
export interface Invariant {
    readonly name: string;
    readonly isHeld: boolean;
    /** The figures behind the verdict. */
    readonly detail: string;
}

/** A step of the demo. */
export interface DemoStep {
    readonly name: string;
    run(deployment: DemoDeployment): Promise<readonly Invariant[]>;
}
