import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { RunnerPorts } from "./RunnerPorts.ts";

/** Updates an instance's latency, position and pacing from a reply. @param sentAtMs monotonic time when the statement was first sent */
export const recordReply = (instance: InstanceRuntime | undefined, reply: InstanceReply, sentAtMs: number, ports: RunnerPorts): void => {
    if (reply.code === ResultCode.Ok) {
        instance?.recordAnswered(ports.nowMs() - sentAtMs, reply.position);
    }
    else if (reply.code === ResultCode.QueueFull) {
        instance?.recordRefusal(sentAtMs, ports.random(), ports.nowMs());
    }
    else if (reply.code === ResultCode.BackendLost) {
        instance?.pacing?.recordLoss(sentAtMs);
    }
};
