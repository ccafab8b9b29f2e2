import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { PlatformClient } from "@pomeloturn/platform-client/PlatformClient";
import { findPorts } from "@pomeloturn/standin/findPorts";
import type { TableCopy } from "@pomeloturn/standin/platform/PlatformState";
import type { ListedVm, ObjectStore, TableResult, TableService, TableWrite, VmList } from "@pomeloturn/types/Platform";
import fc from "fast-check";
import { afterAll, afterEach, beforeEach, describe, expect, it } from "vitest";
import { Standin } from "../programs/standin/src/Standin.ts";
import { FakePlatform } from "./support/FakePlatform.ts";

const SEED = 6_011;
const RUN_COUNT = 40;
const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 100;
const UNAVAILABLE = { code: ResultCode.StoreUnavailable };
const VM: ListedVm = { name: "vm-1", host: "127.0.0.1", failureDomain: "cluj-a", isLeaving: false };

interface Platform {
    readonly service: TableService & ObjectStore & VmList;
    /** The same service with a short time-out; used while answers are lost. */
    readonly serviceWithShortTimeout: TableService & ObjectStore & VmList;
    setFaults(faults: { readonly isDown?: boolean; readonly lostAnswers?: number; }): void;
    setVms(vms: readonly ListedVm[]): void;
    copyTable(): TableCopy;
    restoreTable(copy: TableCopy): void;
    close(): void;
}

const createFake = (): Promise<Platform> => {
    const fake = FakePlatform.create();
    return Promise.resolve({
        service: fake,
        serviceWithShortTimeout: fake,
        setFaults: faults => Object.assign(fake, faults),
        setVms: vms => fake.vms = vms,
        copyTable: () => fake.copyTable(),
        restoreTable: copy => fake.restoreTable(copy),
        close: () => undefined,
    });
};

const createStandin = async (): Promise<Platform> => {
    const [platformPort] = await findPorts(1);
    const standin = await Standin.create({ platformHost: "127.0.0.1", platformPort: platformPort!, groups: [], vms: [] }, () => 0);
    const connect = (timeoutMs: number): PlatformClient =>
        PlatformClient.create({ url: `http://127.0.0.1:${platformPort}`, vm: "vm-1", timeoutMs });
    return {
        service: connect(TIMEOUT_MS),
        serviceWithShortTimeout: connect(SHORT_TIMEOUT_MS),
        setFaults: platformFaults => standin.applyFault({ platformFaults }),
        setVms: vms => standin.applyFault({ vms }),
        copyTable: () => standin.platform.copyTable(),
        restoreTable: copy => standin.platform.restoreTable(copy),
        close: () => standin.close(),
    };
};

const platforms = [["the in-memory fake", createFake], ["the stand-in over HTTP", createStandin]] as const;

const write = (key: string, expectedVersion: number, value = "x"): TableWrite => ({ key, expectedVersion, value });

describe.each(platforms)("platform contract of %s", (_name, create) => {
    let platform: Platform;

    beforeEach(async () => {
        platform = await create();
        expect(await platform.service.transact("setup", [write("a", 0, "one")])).toMatchObject({ isApplied: true });
    });

    afterEach(() => platform.close());

    it("reads rows in the requested order, with version 0 for rows that do not exist", async () => {
        expect(await platform.service.read(["b", "a", "b"])).toEqual([
            { key: "b", version: 0, value: "", era: 1 },
            { key: "a", version: 1, value: "one", era: 1 },
            { key: "b", version: 0, value: "", era: 1 },
        ]);
    });

    it.each<[name: string, writes: readonly TableWrite[], isApplied: boolean, versions: readonly number[]]>([
        ["creates a row", [write("b", 0)], true, [1]],
        ["changes a row", [write("a", 1)], true, [2]],
        ["refuses an expected version that is too old", [write("a", 0)], false, [1]],
        ["refuses an expected version that is too new", [write("a", 2)], false, [1]],
        ["refuses a change of a row that does not exist", [write("b", 1)], false, [0]],
        ["changes several rows", [write("a", 1), write("b", 0)], true, [2, 1]],
        ["changes no row when one write is refused", [write("b", 0), write("a", 9)], false, [0, 1]],
        ["accepts an empty transaction", [], true, []],
    ])("%s", async (_case, writes, isApplied, versions) => {
        const result = await platform.service.transact("operation", writes);
        expect(result.isApplied).toBe(isApplied);
        expect(result.rows.map(({ version }) => version)).toEqual(versions);
        expect(await platform.service.read(writes.map(({ key }) => key))).toEqual(result.rows);
    });

    it.each<[name: string, first: TableWrite]>([
        ["that was applied", write("a", 1, "two")],
        ["that was refused", write("a", 7, "two")],
    ])("answers a repeated operation %s with its first outcome, regardless of later changes", async (_case, first) => {
        const outcome = await platform.service.transact("operation", [first]);
        const [row] = await platform.service.read(["a"]);
        await platform.service.transact("other", [write("a", row!.version, "three")]);
        expect(await platform.service.transact("operation", [first])).toEqual(outcome);
        expect(await platform.service.transact("operation", [write("a", row!.version + 1, "four")])).toEqual(outcome);
        expect(await platform.service.read(["a"])).toEqual([{ key: "a", version: row!.version + 1, value: "three", era: 1 }]);
    });

    it("applies exactly one of several transactions that expect the same version", async () => {
        const results = await Promise.all(["p", "q", "r"].map(id => platform.service.transact(id, [write("a", 1, id)])));
        expect(results.filter(({ isApplied }) => isApplied)).toHaveLength(1);
    });

    it("refuses a write that was meant for a table without the restore", async () => {
        const copy = platform.copyTable();
        await platform.service.transact("lost", [write("a", 1, "two")]);
        platform.restoreTable(copy);
        expect(await platform.service.read(["a"])).toEqual([{ key: "a", version: 1, value: "one", era: 2 }]);
        const late = { ...write("a", 1, "late"), expectedEra: 1 };
        expect(await platform.service.transact("late", [late])).toMatchObject({ isApplied: false, rows: [{ version: 1, era: 2 }] });
        expect(await platform.service.transact("lost", [{ ...write("a", 1, "two"), expectedEra: 2 }])).toMatchObject({ isApplied: true });
    });

    it("keeps a change whose answer was lost, and returns its outcome when the operation is repeated", async () => {
        platform.setFaults({ lostAnswers: 1 });
        await expect(platform.serviceWithShortTimeout.transact("operation", [write("a", 1, "two")])).rejects.toMatchObject(UNAVAILABLE);
        expect(await platform.service.read(["a"])).toEqual([{ key: "a", version: 2, value: "two", era: 1 }]);
        expect(await platform.service.transact("operation", [write("a", 1, "two")])).toMatchObject({ isApplied: true });
    });

    it.each<[name: string, call: (service: Platform["service"]) => Promise<unknown>]>([
        ["read", service => service.read(["a"])],
        ["transact", service => service.transact("operation", [write("a", 1)])],
        ["put", service => service.put("o", "other")],
        ["get", service => service.get("o")],
        ["list", service => service.list()],
    ])("fails %s during an outage, changes nothing and works again afterwards", async (_case, call) => {
        await platform.service.put("o", "body");
        platform.setFaults({ isDown: true });
        await expect(call(platform.serviceWithShortTimeout)).rejects.toMatchObject(UNAVAILABLE);
        platform.setFaults({ isDown: false });
        expect(await platform.service.read(["a"])).toEqual([{ key: "a", version: 1, value: "one", era: 1 }]);
        expect(await platform.service.get("o")).toBe("body");
    });

    it.each([
        ["a plain name", "plain", "body"],
        ["a path", "config/versions/1-ab", "{}"],
        ["a name with reserved characters", "a b&c=d?e#f%g+ș", "x"],
        ["an empty body", "empty", ""],
        ["a body that is not JSON", "text", "\"\u0000\n\ud83d\ude00"],
        ["a body of a megabyte", "large", "x".repeat(1_048_576)],
    ])("keeps an object with %s", async (_case, name, body) => {
        expect(await platform.service.get(name)).toBeUndefined();
        await platform.service.put(name, body);
        await platform.service.put(name, body);
        expect(await platform.service.get(name)).toBe(body);
    });

    it("lists the VMs", async () => {
        expect(await platform.service.list()).toEqual([]);
        platform.setVms([VM, { ...VM, name: "vm-2", isLeaving: true }]);
        expect(await platform.service.list()).toEqual([VM, { ...VM, name: "vm-2", isLeaving: true }]);
    });
});

describe("the in-memory fake and the stand-in", () => {
    const createdPlatforms: Platform[] = [];

    afterAll(() => createdPlatforms.forEach(each => each.close()));

    const transaction = fc.record({
        operationId: fc.constantFrom("1", "2", "3", "4", "5", "6"),
        writes: fc.uniqueArray(
            fc.record({ key: fc.constantFrom("a", "b", "c"), expectedVersion: fc.nat({ max: 2 }), value: fc.string() }),
            { selector: each => each.key, maxLength: 3 },
        ),
    });

    it("give the same answers to the same transactions", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(transaction, { minLength: 1, maxLength: 15 }), async transactions => {
                const pair = await Promise.all([createFake(), createStandin()]);
                createdPlatforms.push(...pair);
                const [fake, standin] = await Promise.all(pair.map(async ({ service }) => {
                    const answers: TableResult[] = [];
                    for (const { operationId, writes } of transactions) {
                        answers.push(await service.transact(operationId, writes));
                    }
                    return { answers, rows: await service.read(["a", "b", "c"]) };
                }));
                expect(standin).toEqual(fake);
            }),
            { seed: SEED, numRuns: RUN_COUNT },
        );
    });
});
