import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import type { InstanceEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";
import { beforeEach, describe, expect, it } from "vitest";
import { ServiceDirectory } from "./ServiceDirectory.ts";

const SERVICE = "ledger";

const PRIMARY: InstanceEntry = {
    id: "real",
    service: SERVICE,
    host: "10.0.0.1",
    port: 80,
    failureDomain: "north-a",
    slots: 2,
    isDraining: false,
    isPrimary: true,
    startedAtMs: 1,
    reportNumber: 1,
    writtenAt: { era: 1, version: 3 },
};

/** An entry of another writer with the address of the real primary, under an id of its own. */
const FALSE_PRIMARY: InstanceEntry = { ...PRIMARY, id: "false", startedAtMs: undefined, writtenAt: { era: 1, version: 9 } };

const createRoutes = (version: number, ...names: readonly string[]): RouteTable => ({
    version,
    routes: new Map(),
    services: new Map(names.map(name => [name, { name, connectionLimit: 4, syncReplicas: 0 }])),
    transactionIdleMs: 3_000,
});

const createPool = (): InstancePool =>
    ({ setLimit: () => {}, warmUp: () => {}, close: () => {}, retire: () => {}, tick: () => {} }) as unknown as InstancePool;

const leaderId = (directory: ServiceDirectory): string | undefined => directory.services.get(SERVICE)?.leader?.entry.id;
const listIds = (directory: ServiceDirectory): string[] => [...directory.services.get(SERVICE)?.instances.keys() ?? []];

let directory: ServiceDirectory;
beforeEach(() => {
    directory = ServiceDirectory.create(createPool);
    directory.applyRoutes(createRoutes(1, SERVICE));
    directory.applyEntry(PRIMARY);
    directory.recordStartup(PRIMARY, ResultCode.Ok, 0);
});

describe("an entry of a service that no configuration names", () => {
    it("creates no service", () => {
        directory.applyEntry({ ...PRIMARY, id: "x", service: "audit/nightly" });
        expect([...directory.services.keys()]).toEqual([SERVICE]);
    });

    it("is not lost when a later configuration names the service", () => {
        directory.applyEntry({ ...PRIMARY, id: "x", service: "audit" });
        directory.applyRoutes(createRoutes(2, SERVICE, "audit"));
        expect(directory.services.get("audit")?.leader?.entry.id).toBe("x");
    });

    it("is not used by a later configuration when it is no longer listed", () => {
        directory.applyEntry({ ...PRIMARY, id: "x", service: "audit" });
        directory.replaceEntries([PRIMARY]);
        directory.applyRoutes(createRoutes(2, SERVICE, "audit"));
        expect(directory.services.get("audit")).toBeUndefined();
    });
});

describe("an entry at whose address another instance answers", () => {
    it("takes no writes from the primary before its address has answered", () => {
        directory.applyEntry(FALSE_PRIMARY);
        expect(leaderId(directory)).toBe("real");
        expect(directory.takeDueChecks(0).map(({ id }) => id)).toEqual(["false"]);
        expect(directory.takeDueChecks(1)).toEqual([]);
    });

    it.each([ResultCode.WrongInstance, ResultCode.UnknownService])("is not used after the answer %i", code => {
        directory.applyEntry(FALSE_PRIMARY);
        expect(directory.recordStartup(FALSE_PRIMARY, code, 0)).toBe(true);
        expect(listIds(directory)).toEqual(["real"]);
        directory.applyEntry({ ...FALSE_PRIMARY, reportNumber: 2, writtenAt: { era: 1, version: 10 } });
        expect(listIds(directory)).toEqual(["real"]);
        expect(directory.isMisrouted("false")).toBe(true);
    });

    it("is not used where it was read before that of the primary", () => {
        directory = ServiceDirectory.create(createPool);
        directory.applyRoutes(createRoutes(1, SERVICE));
        directory.applyEntry(FALSE_PRIMARY);
        directory.applyEntry(PRIMARY);
        directory.recordStartup(FALSE_PRIMARY, ResultCode.WrongInstance, 0);
        expect(leaderId(directory)).toBe("real");
    });

    it("is not out of use for good: its address is checked again, ever more seldom", () => {
        directory.applyEntry(FALSE_PRIMARY);
        directory.recordStartup(FALSE_PRIMARY, ResultCode.WrongInstance, 0);
        const checkedAtMs: number[] = [];
        for (let nowMs = 0; nowMs <= 20_000; nowMs += 100) {
            for (const entry of directory.takeDueChecks(nowMs)) {
                checkedAtMs.push(nowMs);
                directory.recordStartup(entry, ResultCode.WrongInstance, nowMs);
            }
        }
        expect(checkedAtMs).toEqual([500, 1_500, 3_500, 7_500, 15_500]);
        directory.recordStartup(FALSE_PRIMARY, ResultCode.Ok, 20_000);
        expect(listIds(directory)).toEqual(["real", "false"]);
    });

    it("is used at once when it names another address", () => {
        directory.applyEntry(FALSE_PRIMARY);
        directory.recordStartup(FALSE_PRIMARY, ResultCode.WrongInstance, 0);
        const moved = { ...FALSE_PRIMARY, host: "10.0.0.2" };
        directory.applyEntry(moved);
        directory.recordStartup(moved, ResultCode.Ok, 0);
        expect(leaderId(directory)).toBe("false");
        expect(directory.isMisrouted("false")).toBe(false);
    });

    it("is not remembered after its removal", () => {
        directory.applyEntry(FALSE_PRIMARY);
        directory.recordStartup(FALSE_PRIMARY, ResultCode.WrongInstance, 0);
        directory.removeInstance("false");
        expect(directory.takeDueChecks(60_000)).toEqual([]);
        expect(directory.isMisrouted("false")).toBe(false);
    });

    it("does not take the primary out of use by an answer to an earlier entry", () => {
        directory.applyEntry({ ...PRIMARY, host: "10.0.0.2" });
        expect(directory.recordStartup(PRIMARY, ResultCode.WrongInstance, 0)).toBe(false);
        expect(listIds(directory)).toEqual(["real"]);
    });
});
