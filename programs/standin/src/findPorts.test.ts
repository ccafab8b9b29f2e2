import { expect, it, vi } from "vitest";
import type { findPorts } from "./findPorts.ts";

const PORTS_EACH = 500;

/** The finder as another process has it: with a memory of its own. */
const importAnew = async (): Promise<typeof findPorts> => {
    vi.resetModules();
    return (await import("./findPorts.ts")).findPorts;
};

it("gives two processes different ports, also before they listen on them", async () => {
    const finders = [await importAnew(), await importAnew()];
    const ports = (await Promise.all(finders.map(find => find(PORTS_EACH)))).flat();
    expect(ports).toHaveLength(2 * PORTS_EACH);
    expect(new Set(ports).size).toBe(2 * PORTS_EACH);
});
