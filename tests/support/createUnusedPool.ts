import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";

/** Creates a pool that opens no connections. */
export const createUnusedPool = (): InstancePool => {
    const pool = { setLimit: () => {}, warmUp: () => {}, close: () => {}, retire: () => {}, tick: () => {} };
    return pool as unknown as InstancePool;
};
