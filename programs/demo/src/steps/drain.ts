import type { DemoDeployment } from "../DemoDeployment.ts";
import type { DemoStep } from "../DemoStep.ts";

const WRITERS = 6;
const DURATION_MS = 4_000;
const DRAIN_AFTER_MS = 800;
const DRAIN_DEADLINE_MS = 2_500;
const DRAINED_VM = 0;
const OTHER_VM = 1;

interface WriterLog {
    readonly acknowledged: string[];
    /** Errors that leave open whether the write ran. */
    unknownCount: number;
    refusedCount: number;
}

const isNotRun = (error: unknown): boolean => {
    const { detail } = error as { readonly detail?: string; };
    return detail !== undefined && detail.includes("effect=not run");
};

/** Writes one key after the other; when its connection ends it goes on at the other VM, as a balancer would send it. */
const writeDuring = async (deployment: DemoDeployment, writer: number, endMs: number, log: WriterLog): Promise<void> => {
    let caller = await deployment.connect(DRAINED_VM);
    for (let index = 0; performance.now() < endMs; index++) {
        const key = `drain-${writer}-${index}`;
        let isLastAnswerFatal = false;
        try {
            await caller.write(key, key);
            log.acknowledged.push(key);
        }
        catch (error) {
            log.refusedCount += isNotRun(error) ? 1 : 0;
            log.unknownCount += isNotRun(error) ? 0 : 1;
            isLastAnswerFatal = (error as { readonly severity?: string; }).severity === "FATAL";
        }
        if (caller.isLost || isLastAnswerFatal) {
            caller = await deployment.connect(OTHER_VM);
        }
    }
};

/** A VM is shut down gracefully while callers write at it. */
export const drain: DemoStep = {
    name: "drain",
    run: async deployment => {
        const log: WriterLog = { acknowledged: [], unknownCount: 0, refusedCount: 0 };
        const endMs = performance.now() + DURATION_MS;
        const writers = Array.from({ length: WRITERS }, (_each, writer) => writeDuring(deployment, writer, endMs, log));
        setTimeout(() => deployment.vms[DRAINED_VM]!.proxy.drain(DRAIN_DEADLINE_MS), DRAIN_AFTER_MS);
        await Promise.all(writers);
        const reader = await deployment.connect(OTHER_VM);
        const missing: string[] = [];
        for (const key of log.acknowledged) {
            if ((await reader.read(key)) !== key) {
                missing.push(key);
            }
        }
        const { unknownCount, refusedCount, acknowledged } = log;
        return [
            {
                name: "a graceful shutdown cuts no request",
                isHeld: unknownCount === 0,
                detail: `${acknowledged.length} written, ${refusedCount} refused as not run, ${unknownCount} unknown`,
            },
            {
                name: "no write acknowledged during the shutdown is missing",
                isHeld: missing.length === 0,
                detail: `${missing.length} missing`,
            },
        ];
    },
};
