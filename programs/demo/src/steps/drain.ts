import type { DemoDeployment } from "../DemoDeployment.ts";
import type { DemoStep } from "../DemoStep.ts";

const WRITER_COUNT = 6;
const DURATION_MS = 4_000;
const DRAIN_DELAY_MS = 800;
const DRAIN_DEADLINE_MS = 2_500;
const DRAINED_VM_INDEX = 0;
const OTHER_VM_INDEX = 1;

interface WriteOutcomes {
    /** Keys of the acknowledged writes. */
    readonly acknowledged: string[];
    /** Number of errors after which it is unknown whether the write ran. */
    unknownCount: number;
    refusedCount: number;
}

const isNotRun = (error: unknown): boolean => {
    const { detail } = error as { readonly detail?: string; };
    return detail !== undefined && detail.includes("effect=not run");
};

/** Writes one key after another. When the connection ends, continues at the other VM, as behind a load balancer. */
const writeUntil = async (deployment: DemoDeployment, writer: number, endMs: number, outcomes: WriteOutcomes): Promise<void> => {
    let caller = await deployment.connect(DRAINED_VM_INDEX);
    for (let index = 0; performance.now() < endMs; index++) {
        const key = `drain-${writer}-${index}`;
        let isLastAnswerFatal = false;
        try {
            await caller.write(key, key);
            outcomes.acknowledged.push(key);
        }
        catch (error) {
            outcomes.refusedCount += isNotRun(error) ? 1 : 0;
            outcomes.unknownCount += isNotRun(error) ? 0 : 1;
            isLastAnswerFatal = (error as { readonly severity?: string; }).severity === "FATAL";
        }
        if (caller.isDisconnected || isLastAnswerFatal) {
            caller = await deployment.connect(OTHER_VM_INDEX);
        }
    }
};

/** Shuts a VM down gracefully while callers write through it. */
export const drain: DemoStep = {
    name: "drain",
    run: async deployment => {
        const outcomes: WriteOutcomes = { acknowledged: [], unknownCount: 0, refusedCount: 0 };
        const endMs = performance.now() + DURATION_MS;
        const writers = Array.from({ length: WRITER_COUNT }, (_each, writer) => writeUntil(deployment, writer, endMs, outcomes));
        setTimeout(() => deployment.vms[DRAINED_VM_INDEX]!.proxy.drain(DRAIN_DEADLINE_MS), DRAIN_DELAY_MS);
        await Promise.all(writers);
        const reader = await deployment.connect(OTHER_VM_INDEX);
        const missingKeys: string[] = [];
        for (const key of outcomes.acknowledged) {
            if ((await reader.read(key)) !== key) {
                missingKeys.push(key);
            }
        }
        const { unknownCount, refusedCount, acknowledged } = outcomes;
        return [
            {
                name: "a graceful shutdown cuts no request",
                isHeld: unknownCount === 0,
                detail: `${acknowledged.length} written, ${refusedCount} refused as not run, ${unknownCount} unknown`,
            },
            {
                name: "no write acknowledged during the shutdown is missing",
                isHeld: missingKeys.length === 0,
                detail: `${missingKeys.length} missing`,
            },
        ];
    },
};
