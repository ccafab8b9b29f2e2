import type { DemoStep } from "../DemoStep.ts";

const ROUND_COUNT = 40;
const REPLICATION_WAIT_MS = 60;
const READS_AFTER_WAIT = 3;
/** Target for reads that at least one replica can provably serve. */
const MINIMUM_REPLICA_SHARE = 0.95;

/** Writes and reads in a session at one proxy. The session reads its own writes, and replicas serve most reads. */
export const writesAndReads: DemoStep = {
    name: "writes and reads",
    run: async deployment => {
        const caller = await deployment.connect(0, "-c pomeloturn.token=new");
        let seenCount = 0;
        let replicaCount = 0;
        for (let round = 0; round < ROUND_COUNT; round++) {
            await caller.write(`read-${round}`, String(round));
            seenCount += (await caller.read(`read-${round}`)) === String(round) ? 1 : 0;
            await new Promise(resolve => setTimeout(resolve, REPLICATION_WAIT_MS));
            const before = deployment.countRequests();
            for (let read = 0; read < READS_AFTER_WAIT; read++) {
                await caller.read(`read-${round}`);
            }
            replicaCount += deployment.countRequests().replica - before.replica;
        }
        const replicaShare = replicaCount / (ROUND_COUNT * READS_AFTER_WAIT);
        return [
            { name: "a session sees its own writes", isHeld: seenCount === ROUND_COUNT, detail: `${seenCount} of ${ROUND_COUNT}` },
            {
                name: "replicas serve the reads that they can",
                isHeld: replicaShare >= MINIMUM_REPLICA_SHARE,
                detail: `${(replicaShare * 100).toFixed(0)}% of reads`,
            },
        ];
    },
};
