import type { DemoStep } from "../DemoStep.ts";

const ROUNDS = 40;
const REST_MS = 60;
const RESTED_READS = 3;
/** Target for reads that some replica can provably serve. */
const MINIMUM_REPLICA_SHARE = 0.95;

/** A session writes and reads at one proxy: it sees each of its writes, and replicas serve most reads. */
export const writesAndReads: DemoStep = {
    name: "writes and reads",
    run: async deployment => {
        const caller = await deployment.connect(0, "-c pomeloturn.token=new");
        let seenCount = 0;
        let replicaCount = 0;
        for (let round = 0; round < ROUNDS; round++) {
            await caller.write(`read-${round}`, String(round));
            seenCount += (await caller.read(`read-${round}`)) === String(round) ? 1 : 0;
            await new Promise(resolve => setTimeout(resolve, REST_MS));
            const before = deployment.countRequests();
            for (let read = 0; read < RESTED_READS; read++) {
                await caller.read(`read-${round}`);
            }
            replicaCount += deployment.countRequests().replica - before.replica;
        }
        const replicaShare = replicaCount / (ROUNDS * RESTED_READS);
        return [
            { name: "a session sees its own writes", isHeld: seenCount === ROUNDS, detail: `${seenCount} of ${ROUNDS}` },
            {
                name: "replicas serve the reads that they can",
                isHeld: replicaShare >= MINIMUM_REPLICA_SHARE,
                detail: `${(replicaShare * 100).toFixed(0)}% of reads`,
            },
        ];
    },
};
