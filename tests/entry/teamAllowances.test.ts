import type { TenantRow } from "@pomeloturn/platform/support/configurationRow";
import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, expect, it } from "vitest";
import { EntryDeployment } from "./support/EntryDeployment.ts";
import type { EntryProcess } from "./support/EntryProcess.ts";

const WINDOW_MS = 5_000;
const ALLOWANCE = { windowS: 5, overageShare: 0.1, slackOperations: 20 };
const KEY = "k-flood-31aa";
const TEAM: TenantRow = { name: "heron", api_keys: [KEY], rate_per_s: 20, burst: 20 };
/** (20 a second x 5 s + 20) x 1.1 + 20 */
const BOUND = 152;

interface Answered {
    readonly id: string;
    readonly sentAtMs: number;
    readonly latencyMs: number;
    readonly kind: string;
    readonly text: string;
}

let deployment: EntryDeployment;
let vms: readonly EntryProcess[];
const arrivedIds = new Set<string>();
const answers: Answered[] = [];

beforeEach(async () => {
    deployment = await EntryDeployment.create({ instanceIds: ["a"], configuration: { tenants: [TEAM] } });
    arrivedIds.clear();
    answers.length = 0;
    deployment.group.onArrived = (_instance, id) => arrivedIds.add(id);
    vms = await Promise.all([1, 2].map(() => deployment.startVm({ allowance: ALLOWANCE, isLogKept: true })));
});
afterEach(() => deployment.close());

/** Sends one write after the other at a VM until the time is over, at most one in each interval. */
const sendWrites = async (vm: EntryProcess, name: string, durationMs: number, intervalMs: number): Promise<void> => {
    const { caller } = await LineCaller.start(vm.callerPort, "writes", KEY);
    const startedAtMs = performance.now();
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const id = `${name}-${count}`;
        const sentAtMs = performance.now();
        const { kind, text } = await caller.run(id, "WRITE 1a4 x");
        const latencyMs = performance.now() - sentAtMs;
        answers.push({ id, sentAtMs, latencyMs, kind, text });
        await delay(Math.max(0, intervalMs - latencyMs));
    }
    caller.close();
};

/** Largest number of the times within one window. */
const findFullestWindow = (timesMs: readonly number[]): number => {
    const sorted = [...timesMs].sort((one, other) => one - other);
    return Math.max(...sorted.map((startMs, index) => sorted.filter((timeMs, at) => at >= index && timeMs < startMs + WINDOW_MS).length));
};

it("two processes together run more of a team's operations in 5 s than the bound, or run what they refused", async () => {
    await Promise.all(vms.flatMap((vm, index) => [0, 1, 2, 3].map(caller => sendWrites(vm, `w-${index}-${caller}`, 7_000, 5))));
    const refused = answers.filter(({ kind }) => kind !== "complete");
    expect(answers.length).toBeGreaterThan(3 * BOUND);
    expect(findFullestWindow(answers.filter(({ id }) => arrivedIds.has(id)).map(({ sentAtMs }) => sentAtMs))).toBeLessThanOrEqual(BOUND);
    expect(refused.filter(({ kind, text }) => kind !== "error" || !/^BUSY pomeloturn 309: .* retry-after-ms=\d+$/.test(text))).toEqual([]);
    expect(refused.filter(({ id }) => arrivedIds.has(id))).toEqual([]);
    // Operators find refused operations in the log.
    expect(vms.filter(vm => !/"statement",.*"code":309,.*"detail":"heron"/.test(vm.log))).toEqual([]);
    // What the configuration allows is granted, although each process knows only its own callers.
    expect(arrivedIds.size).toBeGreaterThan(TEAM.rate_per_s * 7);
});

it.each(["SIGSTOP", "SIGKILL"] as const)("a process refuses a team below half of its allowance once the other one got %s", async signal => {
    const [stopped, serving] = vms;
    // The buckets start empty.
    await delay(2_000);
    stopped!.process.kill(signal);
    await sendWrites(serving!, "w", 3_000, 1_000 / (0.4 * TEAM.rate_per_s));
    expect(answers.length).toBeGreaterThan(20);
    expect(answers.filter(({ kind }) => kind !== "complete")).toEqual([]);
    // Each holder that does not answer costs at most one time limit.
    expect(Math.max(...answers.map(({ latencyMs }) => latencyMs))).toBeLessThan(400);
});
