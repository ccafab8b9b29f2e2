import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { Freshness } from "@pomeloturn/types/ServiceEntries";
import { StatementKind } from "@pomeloturn/types/Statement";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { SessionRunner } from "./SessionRunner.ts";

const TIMEOUT_MS = 800;
const SECOND_CONNECTION_MS = 400;

const ok: InstanceReply = { code: ResultCode.Ok, rows: ["row"], proof: "proof", text: "", status: "I", position: { term: 1, position: 1 } };

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

it("repeats a read whose answer was lost, though a second connection comes late", async () => {
    let opened = 0;
    const open = (): CommandChannel => {
        const isFirst = opened++ === 0;
        const greeting = new Promise<InstanceReply>(resolve => setTimeout(() => resolve(ok), isFirst ? 1 : SECOND_CONNECTION_MS));
        let isSilent = false;
        const answer = (kind: CommandKind): Promise<InstanceReply> => {
            isSilent ||= isFirst && kind === CommandKind.Forward;
            return isSilent ? new Promise(() => {}) : Promise.resolve(ok);
        };
        return {
            greeting,
            isClosed: false,
            outstandingCount: 0,
            send: commands => commands.map(({ kind }) => answer(kind)),
            close: () => {},
        };
    };
    const directory = ServiceDirectory.create(() =>
        InstancePool.create({ nowMs: () => performance.now(), open, onOpenFailed: () => {}, onLost: () => {} })
    );
    const route = {
        database: "orders",
        service: "ledger",
        freshness: Freshness.Primary,
        maximumAgeMs: undefined,
        timeoutMs: TIMEOUT_MS,
        targetLatencyMs: TIMEOUT_MS,
        rank: 0,
    };
    directory.adoptRoutes({ version: 1, routes: new Map([["orders", route]]), services: new Map(), transactionIdleMs: 3_000 });
    directory.applyEntry({
        id: "i-1",
        service: "ledger",
        host: "127.0.0.1",
        port: 1,
        failureDomain: "domain",
        slots: 2,
        isDraining: false,
        isPrimary: true,
        bornAtMs: undefined,
        revision: 1,
    });
    const runner = SessionRunner.create("orders", {
        directory,
        nowMs: () => performance.now(),
        checkSuspended: () => 0,
        distanceTo: () => Distance.SameDomain,
        onSuspect: () => {},
        onStatement: () => {},
    });
    const reply = runner.run({ id: "r1", kind: StatementKind.Read, text: "READ x", name: "", argument: "", isWrite: false });
    await vi.advanceTimersByTimeAsync(TIMEOUT_MS + 100);
    expect((await reply).code).toBe(ResultCode.Ok);
});
