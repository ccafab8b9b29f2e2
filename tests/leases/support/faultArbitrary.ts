import fc from "fast-check";
import { type Fault, faultInjectors } from "./faults.ts";

/** Schedules of one to six faults that start between 2 s and 12 s, once the group has its first leader. */
export const faultSchedules = fc.record({
    seed: fc.integer({ min: 0, max: 2 ** 31 }),
    lossRate: fc.constantFrom(0, 0.05, 0.2),
    schedule: fc.array(
        fc.record<Fault>({
            kind: fc.constantFrom(...Object.keys(faultInjectors) as Fault["kind"][]),
            target: fc.nat(5),
            isLeader: fc.boolean(),
            atMs: fc.integer({ min: 2_000, max: 12_000 }),
            durationMs: fc.integer({ min: 100, max: 8_000 }),
        }),
        { minLength: 1, maxLength: 6 },
    ),
});
export const HEAL_AT_MS = 16_000;
export const END_MS = 30_000;
