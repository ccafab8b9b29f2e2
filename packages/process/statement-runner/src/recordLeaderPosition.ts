import { addSample } from "@pomeloturn/position-samples/PositionSamples";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { RunnerPorts } from "./RunnerPorts.ts";

/**
 * Confirms the instance as the primary and keeps the position of its reply as a sample.
 *
 * @param askedAtMs monotonic time when the request was sent
 * @param suspensions number of suspensions of this VM when the request was sent; the sample is discarded if it has changed
 */
export const recordLeaderPosition = (
    service: ServiceRuntime,
    instanceId: string,
    reply: InstanceReply,
    askedAtMs: number,
    suspensions: number,
    ports: RunnerPorts,
): void => {
    if (reply.position === undefined) {
        return;
    }
    service.confirmLeader(instanceId, reply.position.term);
    if (ports.detectSuspensions() === suspensions) {
        addSample(service.samples, { askedAtMs, position: reply.position }, ports.nowMs());
    }
};
