import { NO_TEAM } from "@pomeloturn/authenticate-caller/identifyCaller";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { CommandKind } from "@pomeloturn/types/InstanceCommand";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { rollBack } from "./rollBack.ts";
import { sampleLeader } from "./sampleLeader.ts";
import { createAnsweringChannel } from "./support/createAnsweringChannel.ts";
import { createTestPorts } from "./support/createTestPorts.ts";

const LONG_ENOUGH_MS = 1_000;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

it("does not keep a connection whose ROLLBACK is never answered", async () => {
    const discard = vi.fn();
    const lease = { send: () => [new Promise(() => {})], release: () => {}, discard } as unknown as ConnectionLease;
    void rollBack(lease);
    await vi.advanceTimersByTimeAsync(LONG_ENOUGH_MS);
    expect(discard).toHaveBeenCalledOnce();
});

it("does not leave bounded reads without a sample for good when the ROLLBACK of one is never answered", async () => {
    let isSilent = true;
    const openChannel = (): CommandChannel =>
        createAnsweringChannel(({ kind }) => isSilent && kind === CommandKind.Rollback ? new Promise(() => {}) : Promise.resolve([]));
    const ports = createTestPorts(openChannel, LONG_ENOUGH_MS);
    const service = ports.directory.services.get("ledger")!;
    let sampleCount = 0;
    const sample = (): Promise<void> =>
        sampleLeader(service, NO_TEAM, ports).then(() => {
            sampleCount++;
        });
    void sample();
    await vi.advanceTimersByTimeAsync(LONG_ENOUGH_MS);
    expect(sampleCount).toBe(1);
    isSilent = false;
    void sample();
    await vi.advanceTimersByTimeAsync(LONG_ENOUGH_MS);
    expect(sampleCount).toBe(2);
});
