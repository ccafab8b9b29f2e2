import { SAMPLE_GROUP } from "@pomeloturn/standin/sampleConfiguration";
import type { DemoStep } from "../DemoStep.ts";

const ROUND_COUNT = 30;
const LAG_MS = 60_000;

/** Sets a long lag on both replicas. Reads still return the session's writes, because the primary serves them. */
export const laggingReplica: DemoStep = {
    name: "lagging replicas",
    run: async deployment => {
        const setLag = (lagMs: number): void => {
            for (const instance of ["two", "three"]) {
                deployment.standin.applyFault({ group: SAMPLE_GROUP, instance, instanceFaults: { lagMs } });
            }
        };
        const caller = await deployment.connect(1, "-c pomeloturn.token=new");
        setLag(LAG_MS);
        let seenCount = 0;
        for (let round = 0; round < ROUND_COUNT; round++) {
            await caller.write(`lag-${round}`, String(round));
            seenCount += (await caller.read(`lag-${round}`)) === String(round) ? 1 : 0;
        }
        setLag(0);
        return [{ name: "no stale read while replicas lag", isHeld: seenCount === ROUND_COUNT, detail: `${seenCount} of ${ROUND_COUNT}` }];
    },
};
