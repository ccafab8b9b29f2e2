import { SAMPLE_GROUP } from "@pomeloturn/standin/sampleConfiguration";
import type { DemoStep } from "../DemoStep.ts";

const ROUNDS = 30;
const LAG_MS = 60_000;

/** Both replicas fall far behind: reads still see the session's writes, from the primary. */
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
        for (let round = 0; round < ROUNDS; round++) {
            await caller.write(`lag-${round}`, String(round));
            seenCount += (await caller.read(`lag-${round}`)) === String(round) ? 1 : 0;
        }
        setLag(0);
        return [{ name: "no stale read while replicas lag", isHeld: seenCount === ROUNDS, detail: `${seenCount} of ${ROUNDS}` }];
    },
};
