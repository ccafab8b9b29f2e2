import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ControllerVm, DatabaseControl, InstanceProbe } from "@pomeloturn/types/Leadership";
import type { TableResult, TableRow, TableService } from "@pomeloturn/types/Platform";
import { afterEach, expect, test, vi } from "vitest";
import { LeaseRunner } from "./LeaseRunner.ts";

const GROUP = "ledger-1";
const INSTANCES = { one: "north-a", two: "north-b", three: "south-a" };
const VMS: readonly ControllerVm[] = Object.values(INSTANCES).map((failureDomain, index) => ({
    vm: `vm-${index + 1}`,
    incarnation: index + 10,
    failureDomain,
    isLeaving: false,
}));

const createTable = (): TableService => {
    const rows = new Map<string, TableRow>();
    const read = (key: string): TableRow => rows.get(key) ?? { key, version: 0, value: "" };
    return {
        read: keys => Promise.resolve(keys.map(read)),
        transact: (_operationId, writes): Promise<TableResult> => {
            const isApplied = writes.every(({ key, expectedVersion }) => read(key).version === expectedVersion);
            for (const { key, expectedVersion, value } of isApplied ? writes : []) {
                rows.set(key, { key, version: expectedVersion + 1, value });
            }
            return Promise.resolve({ isApplied, rows: writes.map(({ key }) => read(key)) });
        },
    };
};

const createDatabase = (): DatabaseControl => {
    const probes = new Map<string, InstanceProbe>(
        Object.keys(INSTANCES).map(name => [name, { isReplica: name !== "one", position: 100, timeline: 1 }]),
    );
    return {
        probe: (_group, instance) => Promise.resolve(probes.get(instance)!),
        promote: (_group, instance) => {
            probes.set(instance, { isReplica: false, position: 100, timeline: 2 });
            return Promise.resolve();
        },
        follow: () => Promise.resolve(),
    };
};

const startRunners = (): Map<string, LeaseRunner> => {
    const runners = new Map<string, LeaseRunner>();
    const table = createTable();
    const database = createDatabase();
    for (const { vm, incarnation } of VMS) {
        const runner = LeaseRunner.create({
            vm,
            incarnation,
            table,
            database,
            send: (to, message) => queueMicrotask(() => runners.get(to)?.receive(vm, message)),
            nowMs: () => performance.now(),
            random: () => 0,
            onChange: () => undefined,
            onCallFailed: () => undefined,
        });
        runner.setVms(VMS);
        runner.setGroups({ [GROUP]: INSTANCES });
        runners.set(vm, runner);
    }
    return runners;
};

let runners = new Map<string, LeaseRunner>();
afterEach(() => runners.forEach(runner => runner.close()));

const leaders = (): string[] =>
    [...runners].filter(([, runner]) => (runner.leadership().get(GROUP)?.leaseExpiresAtMs ?? -Infinity) > performance.now())
        .map(([vm]) => vm);

const waitFor = (isReached: () => boolean): Promise<boolean> => vi.waitUntil(isReached, { timeout: 30_000, interval: 20 });

test("creates the first row, promotes on request, restores the state of a group that returns, and transfers leadership at a shutdown", async () => {
    runners = startRunners();
    await waitFor(() => leaders().length === 1);
    const [first] = leaders();
    const other = VMS.find(({ vm }) => vm !== first)!.vm;
    expect(await runners.get(other)!.promote(GROUP, "two")).toBe(ResultCode.NotHolder);
    expect(await runners.get(first!)!.promote(GROUP, "two")).toBe(ResultCode.Ok);
    await waitFor(() => leaders().length === 1);
    expect(runners.get(first!)!.leadership().get(GROUP)).toMatchObject({ term: 2, primary: "two", holder: first });

    const witness = runners.get(other)!;
    const leadershipBefore = witness.leadership().get(GROUP);
    witness.setGroups({});
    expect(witness.leadership().size).toBe(0);
    witness.setGroups({ [GROUP]: INSTANCES });
    expect(witness.leadership().get(GROUP)).toEqual(leadershipBefore);

    await runners.get(first!)!.release();
    await waitFor(() => leaders().length === 1);
    expect(leaders()).not.toContain(first);
});

test("reports a failed call with its name and subject, and retries it", async () => {
    const failures: string[] = [];
    const [self] = VMS;
    const runner = LeaseRunner.create({
        vm: self!.vm,
        incarnation: self!.incarnation,
        table: { read: () => Promise.reject(new Error("no answer")), transact: () => Promise.reject(new Error("no answer")) },
        database: createDatabase(),
        send: () => undefined,
        nowMs: () => performance.now(),
        random: () => 0,
        onChange: () => undefined,
        onCallFailed: (call, subject, error) => failures.push(`${call} ${subject}: ${error.message}`),
    });
    runners = new Map([[self!.vm, runner]]);
    runner.setGroups({ [GROUP]: INSTANCES });
    await waitFor(() => failures.length > 1);
    expect(new Set(failures)).toEqual(new Set([`read rows ${GROUP}: no answer`]));
});
