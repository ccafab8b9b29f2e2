import { newestSampleAgeMs } from "@pomeloturn/position-samples/PositionSamples";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { beginAtLeader } from "./beginAtLeader.ts";
import { rollBack } from "./rollBack.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";

/** A sample is renewed once it has reached this share of the age that a route allows. */
const RENEWAL_SHARE = 0.5;
const SAMPLE_RANK = 0;
const SAMPLE_WAIT_MS = 200;

const takeSample = async (service: ServiceRuntime, ports: RunnerPorts): Promise<void> => {
    const begun = await beginAtLeader(service, SAMPLE_RANK, SAMPLE_WAIT_MS, [], ports);
    if (begun !== undefined) {
        await rollBack(begun.lease);
    }
};

/** Asks the primary for its position. Callers that come meanwhile share the request. */
export const sampleLeader = (service: ServiceRuntime, ports: RunnerPorts): Promise<void> => {
    service.sampling ??= takeSample(service, ports).finally(() => {
        service.sampling = undefined;
    });
    return service.sampling;
};

/** Renews the samples in the background before reads of this age run out of them. */
export const renewSamples = (service: ServiceRuntime, maximumAgeMs: number, ports: RunnerPorts): void => {
    if (
        service.sampling === undefined && service.leader !== undefined
        && newestSampleAgeMs(service.samples, ports.nowMs()) > maximumAgeMs * RENEWAL_SHARE
    ) {
        void sampleLeader(service, ports);
    }
};
