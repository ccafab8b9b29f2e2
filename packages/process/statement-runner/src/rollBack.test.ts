import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { rollBack } from "./rollBack.ts";
import { sampleLeader } from "./sampleLeader.ts";
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
    const openChannel = (): CommandChannel => {
        const answer = ({ kind }: InstanceCommand): Promise<InstanceReply> => {
            const status = kind === CommandKind.Begin ? TransactionStatus.Open : TransactionStatus.Idle;
            const reply = { code: ResultCode.Ok, rows: [], proof: "", text: "", status, position: { term: 1, position: 1 } };
            return isSilent && kind === CommandKind.Rollback ? new Promise(() => {}) : Promise.resolve(reply);
        };
        return {
            startupReply: answer({ kind: CommandKind.Reset }),
            isClosed: false,
            outstandingReplyCount: 0,
            send: commands => commands.map(answer),
            close: () => {},
        };
    };
    const ports = createTestPorts(openChannel, LONG_ENOUGH_MS);
    const service = ports.directory.services.get("ledger")!;
    let sampleCount = 0;
    const sample = (): Promise<void> =>
        sampleLeader(service, ports).then(() => {
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
