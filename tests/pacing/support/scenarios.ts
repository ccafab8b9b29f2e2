import { InstanceMode } from "./SimulatedInstance.ts";
import type { Fleet, Scenario } from "./simulateFleet.ts";

/** VMs, and operations per second at one instance: about the usual load of 73 VMs, and 0.6 to 0.7 of what the slots can run with new connections. */
export const FLEETS: readonly Fleet[] = [
    { vmCount: 8, operationsPerS: 200 },
    { vmCount: 73, operationsPerS: 60 },
    { vmCount: 73, operationsPerS: 120 },
    { vmCount: 116, operationsPerS: 120 },
];

const UNDISTURBED = {
    isNew: false,
    faultMode: InstanceMode.Serving,
    faultAtMs: 0,
    earlierShare: 1,
    gatheredMs: 0,
    coldMs: 0,
    isRestart: true,
} as const;
const COLD_MS = 3_000;
const SHORTEST_FAULT_MS = 3_000;
const LONGEST_FAULT_MS = 7_000;
const FAULT_AT_MS = 2_000;

export const SCENARIOS: readonly Scenario[] = [
    { ...UNDISTURBED, name: "start", isNew: true, faultMode: InstanceMode.Down, readyAtMs: () => 1_000, earlierShare: 0, coldMs: COLD_MS },
    {
        ...UNDISTURBED,
        name: "start with callers waiting",
        isNew: true,
        faultMode: InstanceMode.Down,
        readyAtMs: () => 2_000,
        coldMs: COLD_MS,
    },
    { ...UNDISTURBED, name: "restart", faultMode: InstanceMode.Down, faultAtMs: 3_000, readyAtMs: () => 4_500, coldMs: COLD_MS },
    { ...UNDISTURBED, name: "promotion", readyAtMs: () => 3_000, earlierShare: 0.1, gatheredMs: 1_000 },
    { ...UNDISTURBED, name: "cold", isRestart: false, readyAtMs: () => 3_000, coldMs: COLD_MS },
    {
        ...UNDISTURBED,
        name: "fault of 3 to 7 s",
        isRestart: false,
        faultMode: InstanceMode.Silent,
        faultAtMs: FAULT_AT_MS,
        readyAtMs: random => FAULT_AT_MS + SHORTEST_FAULT_MS + (LONGEST_FAULT_MS - SHORTEST_FAULT_MS) * random(),
    },
];
