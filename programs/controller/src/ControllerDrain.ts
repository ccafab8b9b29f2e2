import {
    ControllerDrainAction,
    type ControllerDrainInputs,
    type ControllerDrainState,
    createControllerDrain,
    stepControllerDrain,
} from "@pomeloturn/drain/stepControllerDrain";

const STEP_INTERVAL_MS = 20;

/** Dependencies and callbacks of a controller's graceful shutdown. */
export interface ControllerDrainOptions {
    isProxyConnected(): boolean;
    /** Transfers the leases of this VM to other VMs. */
    releaseLeases(): Promise<void>;
    nowMs(): number;
    onDrained(): void;
    /** Called when the leases could not be transferred. They then expire, and the shutdown continues. */
    onReleaseFailed(error: Error): void;
}

/** Runs a controller's graceful shutdown: executes the actions of `stepControllerDrain`. */
export class ControllerDrain {
    private readonly state: ControllerDrainState;
    private readonly timer: NodeJS.Timeout;
    private isReleased = false;
    /** Set when the proxy has reported that no work depends on this VM's leases any more. */
    isProxyQuiesced = false;

    private constructor(private readonly options: ControllerDrainOptions, durationMs: number) {
        this.state = createControllerDrain(durationMs, options.nowMs());
        this.timer = setInterval(() => this.step(), STEP_INTERVAL_MS);
    }

    static create(options: ControllerDrainOptions, durationMs: number): ControllerDrain {
        return new ControllerDrain(options, durationMs);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private step(): void {
        const inputs: ControllerDrainInputs = {
            isProxyConnected: this.options.isProxyConnected(),
            isProxyQuiesced: this.isProxyQuiesced,
            isReleased: this.isReleased,
        };
        for (const action of stepControllerDrain(this.state, inputs, this.options.nowMs())) {
            this.handlers[action]();
        }
    }

    private readonly handlers: Readonly<Record<ControllerDrainAction, () => void>> = {
        [ControllerDrainAction.ReleaseLeases]: () => void this.release(),
        [ControllerDrainAction.Finish]: () => {
            this.close();
            this.options.onDrained();
        },
    };

    private async release(): Promise<void> {
        await this.options.releaseLeases().catch((error: Error) => this.options.onReleaseFailed(error));
        this.isReleased = true;
    }
}
