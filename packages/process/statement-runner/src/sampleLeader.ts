import { newestSampleAgeMs } from "@pomeloturn/position-samples/PositionSamples";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { beginAtLeader } from "./beginAtLeader.ts";
import { rollBack } from "./rollBack.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";

/** A sample is renewed once its age exceeds this share of the maximum age that a route accepts. */
const RENEWAL_SHARE = 0.5;
const SAMPLE_RANK = 0;
const SAMPLE_CONNECTION_WAIT_MS = 200;

const takeSample = async (service: ServiceRuntime, identity: string, ports: RunnerPorts): Promise<void> => {
    const begun = await beginAtLeader(service, SAMPLE_RANK, SAMPLE_CONNECTION_WAIT_MS, identity, [], ports);
    if (begun !== undefined) {
        await rollBack(begun.lease);
    }
};

/**
 * Samples the primary's position. Concurrent calls share one request.
 *
 * @param identity identity of the connection that is used, so that it can serve the caller's later statements
 */
export const sampleLeader = (service: ServiceRuntime, identity: string, ports: RunnerPorts): Promise<void> => {
    service.pendingSample ??= takeSample(service, identity, ports).finally(() => {
        service.pendingSample = undefined;
    });
    return service.pendingSample;
};

/** Renews the samples in the background, before they become too old for reads that accept `maximumAgeMs`. */
export const renewSamples = (service: ServiceRuntime, maximumAgeMs: number, identity: string, ports: RunnerPorts): void => {
    if (
        service.pendingSample === undefined && service.leader !== undefined
        && newestSampleAgeMs(service.samples, ports.nowMs()) > maximumAgeMs * RENEWAL_SHARE
    ) {
        void sampleLeader(service, identity, ports);
    }
};
