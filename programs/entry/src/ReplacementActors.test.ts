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

const TICK_MS = 200;
/** Time after an outage of the store in which an entry may be missing. */
const STATED_RETURN_MS = 2_000;

interface Observation {
    readonly era: number;
    readonly suspensions: number;
    /** Whether the store answers. */
    readonly isReadable: boolean;
    readonly isKnown: boolean;
}

const CALM: Observation = { era: 1, suspensions: 0, isReadable: true, isKnown: true };

/** Ticks the actors of a service with one synchronous replica. @returns the time at which the listing was complete, and the other lines */
const checkListing = async (
    observe: (nowMs: number) => Partial<Observation>,
): Promise<{ completedAtMs: number; lines: readonly string[]; }> => {
    let nowMs = 0;
    const now = (): Observation => ({ ...CALM, ...observe(nowMs) });
    const lines: string[] = [];
    const actors = ReplacementActors.create({
        system: start(),
        vm: "vm-1",
        authorities: {
            claim: () => Promise.reject(new Error()),
            readListing: () =>
                now().isReadable
                    ? Promise.resolve({ era: now().era, instances: [{ id: "a", service: "ledger", isPrimary: true }] })
                    : Promise.reject(new Error("the store is down")),
        },
        promoter: { promote: () => Promise.resolve(PromotionOutcome.Refused) },
        protocol: {} as SharedReplacementOptions["protocol"],
        nowMs: () => nowMs,
        openConnection: () => {
            throw new Error("the service has no instance");
        },
        isMisrouted: () => false,
        isKnown: () => now().isKnown,
        areFencesChecked: true,
        detectSuspensions: () => now().suspensions,
        syncReplicas: () => 1,
        log: text => lines.push(text),
        onUnexpectedError: error => lines.push(error.message),
    });
    const service = ServiceRuntime.create("ledger");
    for (; nowMs < 20_000 && !lines.includes("the listing of the instances is complete"); nowMs += TICK_MS) {
        actors.tick([service]);
        // The actors and the read of the listing go on after the present task.
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    return { completedAtMs: nowMs, lines: lines.slice(0, -1) };
};

it.each<[what: string, changedAtMs: number, observe: (nowMs: number) => Partial<Observation>]>([
    ["the start", 0, () => ({})],
    ["a failed read", 2_000, nowMs => ({ isReadable: nowMs < 1_000 || nowMs >= 2_000 })],
    ["a restore of the store", 2_000, nowMs => ({ era: nowMs < 2_000 ? 1 : 2 })],
    ["a suspension of this VM", 2_000, nowMs => ({ suspensions: nowMs < 2_000 ? 0 : 1 })],
])("the listing counts as complete while instances may still return after %s", async (_what, changedAtMs, observe) => {
    const { completedAtMs } = await checkListing(observe);
    expect(completedAtMs).toBeGreaterThan(changedAtMs + STATED_RETURN_MS);
    expect(completedAtMs).toBeLessThan(changedAtMs + 3 * STATED_RETURN_MS);
});

it("the listing counts as complete while it shows an instance that this VM does not know", async () => {
    expect((await checkListing(nowMs => ({ isKnown: nowMs >= 8_000 }))).completedAtMs).toBeGreaterThan(8_000);
});

it("no line, or a line for each attempt, says that the listing cannot be read", async () => {
    const { lines } = await checkListing(nowMs => ({ isReadable: nowMs >= 5_000 }));
    expect(lines).toEqual(["the listing of the instances cannot be read; its check starts again"]);
});
