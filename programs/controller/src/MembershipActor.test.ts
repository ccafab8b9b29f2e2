import { Condition } from "@pomeloturn/membership/Member";
import { start } from "nact";
import { expect, it } from "vitest";
import { MembershipActor } from "./MembershipActor.ts";

it("does not start on a VM whose name the actor library refuses", () => {
    const address = { host: "127.0.0.1", peerPort: 1, controllerPort: 2, failureDomain: "north-a" };
    const self = { vm: "rack 1/front", incarnation: 1, sequence: 0, condition: Condition.Alive, isLeaving: false, ...address };
    const create = (): MembershipActor =>
        MembershipActor.create({
            system: start(),
            self,
            transport: { send: () => {}, sendToAddress: () => {} },
            configurationVersion: () => 0,
            nowMs: () => 0,
            onChanged: () => {},
            onSuperseded: () => {},
        });
    expect(create).not.toThrow();
});
