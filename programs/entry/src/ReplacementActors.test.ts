import { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import { PromotionOutcome } from "@pomeloturn/types/Protocols";
import { start } from "nact";
import { expect, it } from "vitest";
import { ReplacementActors, type SharedReplacementOptions } from "./ReplacementActors.ts";

/** Ticks the actors of two services. @returns the services that were looked at, and the errors */
const tick = (names: readonly string[], failing?: string): { readonly watched: readonly string[]; readonly errors: readonly string[]; } => {
    const watched: string[] = [];
    const errors: string[] = [];
    const actors = ReplacementActors.create({
        system: start(),
        vm: "vm-1",
        authorities: { claim: () => Promise.reject(new Error()), readListing: () => Promise.resolve({ era: 1, instances: [] }) },
        promoter: { promote: () => Promise.resolve(PromotionOutcome.Refused) },
        protocol: {} as SharedReplacementOptions["protocol"],
        nowMs: () => 0,
        openConnection: () => {
            throw new Error("the services have no instance");
        },
        isMisrouted: () => false,
        isKnown: () => true,
        areFencesChecked: true,
        detectSuspensions: () => 0,
        syncReplicas: service => {
            if (service === failing) {
                throw new Error(`service ${service} cannot be looked at`);
            }
            watched.push(service);
            return 0;
        },
        log: () => {},
        onUnexpectedError: error => errors.push(error.message),
    });
    actors.tick(names.map(name => ServiceRuntime.create(name)));
    return { watched, errors };
};

it.each(["audit/nightly", "two words", "~", ""])("watches no service behind one that the actor library has no name for: %j", name => {
    expect(tick([name, "ledger"])).toEqual({ watched: [name, "ledger"], errors: [] });
});

it("watches no service behind one that fails", () => {
    expect(tick(["orders", "ledger"], "orders")).toEqual({ watched: ["ledger"], errors: ["service orders cannot be looked at"] });
});
