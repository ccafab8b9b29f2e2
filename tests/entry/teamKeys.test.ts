import type { TenantRow } from "@pomeloturn/platform/support/configurationRow";
import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { setTimeout as delay } from "node:timers/promises";
import { afterAll, afterEach, beforeAll, expect, it, vi } from "vitest";
import { EntryDeployment, SERVICE } from "./support/EntryDeployment.ts";
import type { EntryProcess } from "./support/EntryProcess.ts";
import { waitForService } from "./support/waitForService.ts";

const SERVICE_LIMIT_MS = 8_000;
/** A configuration is active well before this time after it was written; the platform's bound is 5 s. */
const APPLY_LIMIT_MS = 2_000;
const POLL_MS = 10;
const PUBLIC_DATABASE = "public";
const DATABASES = { [PUBLIC_DATABASE]: SERVICE };

/** Each test takes keys of its own, so that the tests share one process. */
const KEYS = {
    known: "k-known-4f1c",
    added: "k-added-77ab",
    idle: "k-idle-90de",
    statement: "k-statement-13cd",
    transaction: "k-transaction-b2b2",
    moved: "k-moved-5e5e",
    unknown: "k-unknown-0000",
    unused: "k-unused-8d8d",
} as const;

let deployment: EntryDeployment;
let vm: EntryProcess;
let version = 1;
let keysOfHeron: readonly string[] = [KEYS.unused];
let keysOfFalcon: readonly string[] = [KEYS.known, KEYS.idle, KEYS.statement, KEYS.transaction, KEYS.moved];
const callers: LineCaller[] = [];

const createTenants = (): TenantRow[] => [
    { name: "falcon", api_keys: keysOfFalcon, rate_per_s: 180, burst: 180 },
    { name: "heron", api_keys: keysOfHeron, rate_per_s: 180, burst: 180 },
];

/** Activates the keys of the two teams, and waits until the process uses them. */
const applyKeys = async (falcon: readonly string[], heron: readonly string[]): Promise<void> => {
    [keysOfFalcon, keysOfHeron] = [falcon, heron];
    deployment.configure({ version: ++version, databases: DATABASES, publicDatabases: [PUBLIC_DATABASE], tenants: createTenants() });
    const startedAtMs = performance.now();
    while (!vm.log.includes(`"a new configuration is active","1":{"version":${version},`)) {
        expect(performance.now() - startedAtMs).toBeLessThan(APPLY_LIMIT_MS);
        await delay(POLL_MS);
    }
};

const removeKey = (key: string): Promise<void> => applyKeys(keysOfFalcon.filter(each => each !== key), keysOfHeron);

const start = async (key: string, database = "writes", port = vm.callerPort): ReturnType<typeof LineCaller.start> => {
    const started = await LineCaller.start(port, database, key);
    callers.push(started.caller);
    return started;
};

beforeAll(async () => {
    const configuration = { databases: DATABASES, publicDatabases: [PUBLIC_DATABASE], tenants: createTenants() };
    deployment = await EntryDeployment.create({ instanceIds: ["a"], configuration });
    vm = await deployment.startVm({ isLogKept: true });
    expect(await waitForService(vm.callerPort, "writes", SERVICE_LIMIT_MS, KEYS.known)).toBeLessThan(SERVICE_LIMIT_MS);
});
afterEach(() => callers.splice(0).forEach(caller => caller.close()));
afterAll(() => deployment.close());

it("an instance is told another name than the team's because the program does not look up the key", async () => {
    const { caller, answer } = await start(KEYS.known);
    expect(answer.kind).toBe("complete");
    expect((await caller.run("known", "WRITE 1a4 x")).kind).toBe("complete");
    expect(deployment.group.callerNames.get("known")).toBe("falcon");
});

it.each([["an unknown key", KEYS.unknown], ["no key", ""]])("a caller with %s is served, or waits for an answer", async (_name, key) => {
    const { caller, answer } = await start(key);
    expect(answer).toEqual({ kind: "broken", text: expect.stringMatching(/^ERROR NOAUTH pomeloturn 101:/) as unknown });
    expect(caller.isClosed).toBe(true);
});

it("a caller of a public route is asked for a key, or its statement runs under a team's name", async () => {
    for (const [index, key] of ["", KEYS.unknown, KEYS.known].entries()) {
        const { caller, answer } = await start(key, PUBLIC_DATABASE);
        expect(answer.kind).toBe("complete");
        expect((await caller.run(`public-${index}`, "WRITE 1a4 x")).kind).toBe("complete");
        expect(deployment.group.callerNames.get(`public-${index}`)).toBe(vm.vm);
    }
});

it("a key that was added a moment ago is refused", async () => {
    expect((await start(KEYS.added)).answer.kind).toBe("broken");
    await applyKeys(keysOfFalcon, [...keysOfHeron, KEYS.added]);
    const { caller } = await start(KEYS.added);
    expect((await caller.run("added", "WRITE 1a4 x")).kind).toBe("complete");
    expect(deployment.group.callerNames.get("added")).toBe("heron");
});

it("an idle session goes on after its key was removed", async () => {
    const { caller: idle } = await start(KEYS.idle);
    const { caller: used } = await start(KEYS.idle);
    expect((await used.run("idle", "WRITE 1a4 x")).kind).toBe("complete");
    const { caller: other } = await start(KEYS.known);
    await removeKey(KEYS.idle);
    await delay(500);
    expect([idle.isClosed, used.isClosed, other.isClosed]).toEqual([true, true, false]);
});

it("a statement runs although its key was removed", async () => {
    const { caller } = await start(KEYS.statement);
    // The session runs a statement when its key is removed, so that it is not idle.
    deployment.group.times.workMs = 700;
    const running = caller.run("running", "WRITE 1a4 x");
    await delay(100);
    await removeKey(KEYS.statement);
    expect((await running).kind).toBe("complete");
    deployment.group.times.workMs = 2;
    const answer = await caller.run("removed", "WRITE 1a4 x");
    expect(answer).toEqual({ kind: "error", text: expect.stringMatching(/^NOAUTH pomeloturn 101:/) as unknown });
    expect(deployment.group.callerNames.has("removed")).toBe(false);
    // Operators find the refused statement in the log.
    expect(vm.log).toMatch(/"requestId":"removed",.*"code":101,/);
    // A session that was busy at the removal used to stay open.
    await vi.waitFor(() => expect(caller.isClosed).toBe(true), { timeout: 10_000, interval: 100 });
});

it("a transaction goes on, or commits, more than 2 s after its key was removed", async () => {
    const { caller } = await start(KEYS.transaction);
    await caller.run("begin", "BEGIN");
    expect((await caller.run("in-transaction", "WRITE 1a4 x")).kind).toBe("complete");
    await removeKey(KEYS.transaction);
    await delay(1_000);
    expect((await caller.run("soon-after", "WRITE 1a4 x")).kind).toBe("complete");
    expect(deployment.group.primary!.openTransactionCount).toBe(1);
    await delay(1_200);
    expect(deployment.group.primary!.openTransactionCount).toBe(0);
    const answer = await caller.run("commit", "COMMIT");
    expect(answer).toEqual({ kind: "error", text: expect.stringMatching(/^ABORTED pomeloturn 207:/) as unknown });
    expect(deployment.group.acknowledged.has("in-transaction")).toBe(false);
    expect(deployment.group.primary!.log.flat()).not.toContain("in-transaction");
});

it("an operation runs under the former team's name after its key was moved", async () => {
    const { caller } = await start(KEYS.moved);
    await caller.run("before", "WRITE 1a4 x");
    await applyKeys(keysOfFalcon.filter(key => key !== KEYS.moved), [...keysOfHeron, KEYS.moved]);
    expect((await caller.run("after", "WRITE 1a4 x")).kind).toBe("complete");
    const names = ["before", "after"].map(id => deployment.group.callerNames.get(id));
    expect(names).toEqual(["falcon", "heron"]);
});

it("a key is written to the log or the metrics, or told to an instance", async () => {
    const statements = vm.log.match(/"statement",/g);
    expect(statements?.length).toBeGreaterThan(0);
    const metrics = await (await fetch(`http://${vm.metricsAddress}/metrics`)).text();
    expect(metrics).toContain("statements_served");
    // Operators see why sessions were refused at their start.
    expect(metrics).toContain("startup_refused_101");
    const names = [...deployment.group.startupNames].sort();
    expect(names).toEqual(["falcon", "heron", vm.vm]);
    expect(Object.values(KEYS).filter(key => vm.log.includes(key) || metrics.includes(key))).toEqual([]);
});

it("a caller with any key is refused where the configuration lists no teams", async () => {
    const other = await EntryDeployment.create({ instanceIds: ["a"] });
    try {
        const { callerPort } = await other.startVm();
        await waitForService(callerPort, "writes", SERVICE_LIMIT_MS);
        for (const [index, key] of ["", "u3f1"].entries()) {
            const { caller } = await start(key, "writes", callerPort);
            expect((await caller.run(`any-${index}`, "WRITE 1a4 x")).kind).toBe("complete");
            expect(other.group.callerNames.get(`any-${index}`)).toBe("vm-0");
        }
    }
    finally {
        other.close();
    }
});
