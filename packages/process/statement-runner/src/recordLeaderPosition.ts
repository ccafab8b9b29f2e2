import { addSample } from "@pomeloturn/position-samples/PositionSamples";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { RunnerPorts } from "./RunnerPorts.ts";

/** Keeps the position that an instance stated while it led. @param suspensions count of suspensions when the request was sent */
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
    if (ports.checkSuspended() === suspensions) {
        addSample(service.samples, { askedAtMs, position: reply.position }, ports.nowMs());
    }
};
