import { recordAnswered } from "@pomeloturn/replace-primary/knownLeader";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { expect, it } from "vitest";
import { CommitHolders } from "./CommitHolders.ts";

const createService = (...ids: readonly string[]): ServiceRuntime => {
    const service = ServiceRuntime.create("ledger");
    ids.forEach(id => service.instances.set(id, {} as InstanceRuntime));
    return service;
};

it("forgets no replica that an outage of the store has unlisted for a moment", () => {
    const service = createService("a", "b");
    recordAnswered(service.knownLeader, "b");
    const holders = CommitHolders.create();
    holders.update(service, 0);
    service.instances.delete("b");
    service.knownLeader.answeredIds.delete("b");
    holders.update(service, 1_000);
    expect(holders.listAbsent(service, 2_500)).toEqual(["b"]);
    expect(holders.listAbsent(service, 3_500)).toEqual([]);
});

it("does not wait for ever for an instance that has never answered", () => {
    const service = createService("false");
    const holders = CommitHolders.create();
    holders.update(service, 0);
    expect(holders.mayHoldCommits("false", service, 5_000)).toBe(true);
    expect(holders.mayHoldCommits("false", service, 15_000)).toBe(false);
    recordAnswered(service.knownLeader, "false");
    expect(holders.mayHoldCommits("false", service, 15_000)).toBe(true);
});
