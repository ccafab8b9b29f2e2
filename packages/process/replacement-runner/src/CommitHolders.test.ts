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

it("forgets a replica that is not listed while the store has not shown for long enough that it is gone", () => {
    const service = createService("a", "b");
    recordAnswered(service.knownLeader, "b");
    const holders = CommitHolders.create();
    holders.update(service, -Infinity, 5_000);
    service.instances.delete("b");
    service.knownLeader.answeredIds.delete("b");
    for (const verifiedFromMs of [-Infinity, 100, 4_999]) {
        holders.update(service, verifiedFromMs, 60_000);
        expect(holders.listAbsent(service)).toEqual(["b"]);
    }
    holders.update(service, 5_001, 60_000);
    expect(holders.listAbsent(service)).toEqual([]);
});

it("forgets an instance that is listed", () => {
    const service = createService("a");
    recordAnswered(service.knownLeader, "a");
    const holders = CommitHolders.create();
    holders.update(service, Infinity, 0);
    holders.update(service, Infinity, 60_000);
    expect(holders.mayHoldCommits("a", service, 60_000)).toBe(true);
});

it("does not wait for ever for an instance that has never answered", () => {
    const service = createService("false");
    const holders = CommitHolders.create();
    holders.update(service, Infinity, 0);
    expect(holders.mayHoldCommits("false", service, 5_000)).toBe(true);
    expect(holders.mayHoldCommits("false", service, 15_000)).toBe(false);
    recordAnswered(service.knownLeader, "false");
    expect(holders.mayHoldCommits("false", service, 15_000)).toBe(true);
});
