import type { DemoDeployment } from "./DemoDeployment.ts";

/** Checked property and whether it held. */
export interface Invariant {
    readonly name: string;
    readonly isHeld: boolean;
    /** Figures from which `isHeld` was derived. */
    readonly detail: string;
}

/** Step of the demo, which runs a scenario and checks its invariants. */
export interface DemoStep {
    readonly name: string;
    run(deployment: DemoDeployment): Promise<readonly Invariant[]>;
}
