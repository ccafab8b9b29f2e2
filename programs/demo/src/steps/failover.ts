import { SAMPLE_GROUP } from "@pomeloturn/standin/sampleConfiguration";
import type { DemoCaller } from "../DemoCaller.ts";
import type { DemoStep } from "../DemoStep.ts";

const MAXIMUM_GAP_MS = 12_000;
const WRITE_INTERVAL_MS = 20;
const WRITE_COUNT_BEFORE = 30;
const WRITE_COUNT_AFTER = 30;
const TIME_LIMIT_MS = 30_000;
/** Covers the replication lag. Replication is asynchronous, so writes within the lag may be lost with the primary. */
const REPLICATION_WAIT_MS = 200;

interface WriteOutcomes {
    /** Keys of the acknowledged writes. */
    readonly acknowledged: string[];
    /** Longest time between two acknowledged writes. */
    gapMs: number;
}

const writeUntil = async (caller: DemoCaller, outcomes: WriteOutcomes, prefix: string, count: number): Promise<void> => {
    const deadlineMs = performance.now() + TIME_LIMIT_MS;
    let lastWrittenAtMs = performance.now();
    for (let index = 0, writtenCount = 0; writtenCount < count && performance.now() < deadlineMs; index++) {
        const key = `${prefix}-${index}`;
        try {
            await caller.write(key, key);
            outcomes.acknowledged.push(key);
            outcomes.gapMs = Math.max(outcomes.gapMs, performance.now() - lastWrittenAtMs);
            lastWrittenAtMs = performance.now();
            writtenCount++;
        }
        catch {
            // A write that was refused or has an unknown outcome is not acknowledged.
        }
        await new Promise(resolve => setTimeout(resolve, WRITE_INTERVAL_MS));
    }
};

/** Stops the primary's server. Another instance takes over, and no acknowledged write is lost. */
export const failover: DemoStep = {
    name: "failover",
    run: async deployment => {
        const caller = await deployment.connect(0, "-c pomeloturn.token=new");
        const outcomes: WriteOutcomes = { acknowledged: [], gapMs: 0 };
        await writeUntil(caller, outcomes, "before", WRITE_COUNT_BEFORE);
        await new Promise(resolve => setTimeout(resolve, REPLICATION_WAIT_MS));
        deployment.standin.applyFault({ group: SAMPLE_GROUP, instance: "one", instanceFaults: { isStopped: true } });
        await writeUntil(caller, outcomes, "after", WRITE_COUNT_AFTER);
        const reader = await deployment.connect(1);
        const missingKeys: string[] = [];
        for (const key of outcomes.acknowledged) {
            if ((await reader.read(key)) !== key) {
                missingKeys.push(key);
            }
        }
        const isComplete = outcomes.acknowledged.length === WRITE_COUNT_BEFORE + WRITE_COUNT_AFTER;
        return [
            {
                name: "writes go on after the primary stopped",
                isHeld: isComplete && outcomes.gapMs <= MAXIMUM_GAP_MS,
                detail: `gap ${Math.round(outcomes.gapMs)} ms`,
            },
            {
                name: "no acknowledged write is missing",
                isHeld: missingKeys.length === 0,
                detail: `${missingKeys.length} of ${outcomes.acknowledged.length} missing`,
            },
        ];
    },
};
