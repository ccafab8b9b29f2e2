import { expect, it, vi } from "vitest";
import type { findPorts } from "./findPorts.ts";

const PORTS_PER_PROCESS = 500;

/** Imports the module again, so that it has the state of another process. */
const importWithOwnState = async (): Promise<typeof findPorts> => {
    vi.resetModules();
    return (await import("./findPorts.ts")).findPorts;
};

it("gives two processes different ports even before they listen on them", async () => {
    const finders = [await importWithOwnState(), await importWithOwnState()];
    const ports = (await Promise.all(finders.map(find => find(PORTS_PER_PROCESS)))).flat();
    expect(ports).toHaveLength(2 * PORTS_PER_PROCESS);
    expect(new Set(ports).size).toBe(2 * PORTS_PER_PROCESS);
});
