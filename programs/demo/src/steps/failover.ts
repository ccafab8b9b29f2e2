import { SAMPLE_GROUP } from "@pomeloturn/standin/sampleConfiguration";
import type { DemoCaller } from "../DemoCaller.ts";
import type { DemoStep } from "../DemoStep.ts";

const MAXIMUM_GAP_MS = 12_000;
const WRITE_INTERVAL_MS = 20;
const WRITES_BEFORE = 30;
const WRITES_AFTER = 30;
const TIME_LIMIT_MS = 30_000;
/** Replication is asynchronous: what the stand-in's lag can hold back may be lost with the primary. */
const REPLICATION_REST_MS = 200;

interface WriteLog {
    readonly acknowledged: string[];
    /** Longest time between two acknowledged writes. */
    gapMs: number;
}

const writeUntil = async (caller: DemoCaller, log: WriteLog, prefix: string, count: number): Promise<void> => {
    const deadlineMs = performance.now() + TIME_LIMIT_MS;
    let lastMs = performance.now();
    for (let index = 0, done = 0; done < count && performance.now() < deadlineMs; index++) {
        const key = `${prefix}-${index}`;
        try {
            await caller.write(key, key);
            log.acknowledged.push(key);
            log.gapMs = Math.max(log.gapMs, performance.now() - lastMs);
            lastMs = performance.now();
            done++;
        }
        catch {
            // Refused or unknown: it does not count as acknowledged.
        }
        await new Promise(resolve => setTimeout(resolve, WRITE_INTERVAL_MS));
    }
};

/** The primary's server stops: another instance takes over and every acknowledged write is still there. */
export const failover: DemoStep = {
    name: "failover",
    run: async deployment => {
        const caller = await deployment.connect(0, "-c pomeloturn.token=new");
        const log: WriteLog = { acknowledged: [], gapMs: 0 };
        await writeUntil(caller, log, "before", WRITES_BEFORE);
        await new Promise(resolve => setTimeout(resolve, REPLICATION_REST_MS));
        deployment.standin.applyFault({ group: SAMPLE_GROUP, instance: "one", instanceFaults: { isStopped: true } });
        await writeUntil(caller, log, "after", WRITES_AFTER);
        const reader = await deployment.connect(1);
        const missing: string[] = [];
        for (const key of log.acknowledged) {
            if ((await reader.read(key)) !== key) {
                missing.push(key);
            }
        }
        const isComplete = log.acknowledged.length === WRITES_BEFORE + WRITES_AFTER;
        return [
            {
                name: "writes go on after the primary stopped",
                isHeld: isComplete && log.gapMs <= MAXIMUM_GAP_MS,
                detail: `gap ${Math.round(log.gapMs)} ms`,
            },
            {
                name: "no acknowledged write is missing",
                isHeld: missing.length === 0,
                detail: `${missing.length} of ${log.acknowledged.length} missing`,
            },
        ];
    },
};
