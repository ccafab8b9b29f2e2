import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { describe, expect, it } from "vitest";
import type { ConnectionLease } from "./ConnectionLease.ts";
import { InstancePool } from "./InstancePool.ts";
import type { OpeningPacing } from "./OpeningPacing.ts";

const WAIT_MS = 1_000;
const OPENED: InstanceReply = {
    code: ResultCode.Ok,
    rows: [],
    proof: "",
    text: "",
    status: TransactionStatus.Idle,
    position: undefined,
};

/** Pool whose connections the test opens. */
class TestPool {
    /** Identities under which connections were opened, in order. */
    readonly opened: string[] = [];
    readonly closed: string[] = [];
    private readonly pendingStartups: ((reply?: InstanceReply) => void)[] = [];
    readonly pool: InstancePool;
    nowMs = 0;
    reportedFailureCount = 0;

    constructor(connectionLimit: number, vmCount: number, pacing?: OpeningPacing) {
        this.pool = InstancePool.create({
            nowMs: () => this.nowMs,
            open: (onClosed, identity) => this.open(onClosed, identity),
            onOpenFailed: () => this.reportedFailureCount++,
            onLost: () => {},
            pacing,
        });
        this.pool.setLimit(connectionLimit, vmCount);
    }

    /** Lets the instance answer all connections that are being opened. */
    async accept(reply: InstanceReply = OPENED): Promise<void> {
        this.pendingStartups.splice(0).forEach(resolve => resolve(reply));
        await new Promise(resolve => setImmediate(resolve));
    }

    async acquire(identity: string, rank = 1): Promise<ConnectionLease> {
        const lease = this.pool.acquire(rank, WAIT_MS, identity);
        await this.accept();
        return (await lease)!;
    }

    private open(onClosed: (reason: string, isRemote: boolean) => void, identity: string): CommandChannel {
        this.opened.push(identity);
        let isClosed = false;
        return {
            startupReply: new Promise(resolve => this.pendingStartups.push((reply = OPENED) => resolve(reply))),
            get isClosed() {
                return isClosed;
            },
            outstandingReplyCount: 0,
            send: () => [],
            close: reason => {
                isClosed = true;
                this.closed.push(identity);
                onClosed(reason, false);
            },
        };
    }
}

describe("InstancePool", () => {
    it.each([
        ["more connections at a time than start-ups are allowed", 16, 8, 0, 5, 2],
        ["more connections than the limit", 16, 8, 3, 5, 1],
        ["a second connection for one request", 16, 8, 0, 1, 1],
    ])("would fail if it opened %s", async (_failure, connectionLimit, vmCount, busyCount, waitingCount, expected) => {
        const test = new TestPool(connectionLimit, vmCount);
        for (let index = 0; index < busyCount; index++) {
            await test.acquire("a");
        }
        test.opened.length = 0;
        for (let index = 0; index < waitingCount; index++) {
            void test.pool.acquire(0, WAIT_MS, "a");
        }
        test.pool.tick();
        expect(test.opened).toHaveLength(expected);
        test.pool.close("the test has ended");
    });

    it("would fail if a request ran on a connection that was opened for another team", async () => {
        const test = new TestPool(16, 8);
        (await test.acquire("a")).release(TransactionStatus.Idle);
        await test.acquire("b");
        (await test.acquire("a")).release(TransactionStatus.Idle);
        expect(test.opened).toEqual(["a", "b"]);
    });

    it("would fail if idle connections of other teams kept a request waiting at the limit", async () => {
        const test = new TestPool(2, 2);
        const leases = [await test.acquire("a"), await test.acquire("b")];
        leases.forEach(lease => lease.release(TransactionStatus.Idle));
        const lease = await test.acquire("c");
        expect(test.closed).toEqual(["a"]);
        expect(lease).toBeDefined();
        expect(test.opened).toEqual(["a", "b", "c"]);
    });

    it("would fail if an instance that could not be reached once were never used again", async () => {
        const test = new TestPool(2, 4);
        const lease = test.pool.acquire(1, WAIT_MS, "a");
        await test.accept({ ...OPENED, code: ResultCode.BackendLost });
        expect(await lease).toBeUndefined();
        test.pool.tick();
        expect([test.pool.isUnreachable, test.opened]).toEqual([true, ["a"]]);
        for (test.nowMs = 200; test.opened.length < 3 && test.nowMs < 5_000; test.nowMs += 200) {
            test.pool.tick();
            await test.accept({ ...OPENED, code: ResultCode.BackendLost });
        }
        expect(test.reportedFailureCount).toBe(1);
        test.nowMs += 1_000;
        test.pool.tick();
        await test.accept();
        expect(test.pool.isUnreachable).toBe(false);
    });

    it("would fail if requests of a busy team kept a more urgent one of another team waiting", async () => {
        const test = new TestPool(2, 2);
        const [first] = [await test.acquire("a", 2), await test.acquire("a", 2)];
        const ordinary = test.pool.acquire(2, WAIT_MS, "a");
        const urgent = test.pool.acquire(0, WAIT_MS, "b");
        first.release(TransactionStatus.Idle);
        await test.accept();
        expect(test.opened).toEqual(["a", "a", "b"]);
        expect(await urgent).toBeDefined();
        test.pool.close("the test has ended");
        expect(await ordinary).toBeUndefined();
    });
});

describe("InstancePool with pacing by answers", () => {
    const LOST: InstanceReply = { ...OPENED, code: ResultCode.BackendLost };
    const PACED_MS = 300;
    const createPacing = (isProbeAllowed = true): OpeningPacing & { readonly recorded: string[]; } => {
        const recorded: string[] = [];
        return {
            recorded,
            recordFailedOpening: isExhausted => {
                recorded.push(isExhausted ? "exhausted" : "failed");
                return PACED_MS;
            },
            recordLoss: () => recorded.push("lost"),
            takeProbe: () => isProbeAllowed,
        };
    };
    const failOpening = async (test: TestPool, reply = LOST): Promise<void> => {
        void test.pool.acquire(1, WAIT_MS, "a");
        await test.accept(reply);
        test.opened.length = 0;
    };

    it("would fail if failed openings did not reach the pace", async () => {
        const pacing = createPacing();
        const test = new TestPool(16, 8, pacing);
        await failOpening(test);
        test.nowMs = PACED_MS;
        await failOpening(test, { ...LOST, code: ResultCode.ConnectionsExhausted });
        expect(pacing.recorded).toEqual(["failed", "exhausted"]);
    });

    it("would fail if the backoff of the pool replaced that of the pace", async () => {
        const test = new TestPool(16, 8, createPacing(false));
        await failOpening(test);
        test.nowMs = PACED_MS - 1;
        expect(await test.pool.acquire(1, WAIT_MS, "a")).toBeUndefined();
        test.nowMs = PACED_MS;
        await test.acquire("a");
        expect(test.opened).toEqual(["a"]);
    });

    it.each([[70, 73], [16, 8]])(
        "would fail if nothing found out that an unreachable instance answers again (%i connections, %i VMs)",
        async (connectionLimit, vmCount) => {
            const test = new TestPool(connectionLimit, vmCount, createPacing());
            await failOpening(test);
            expect(test.pool.isUnreachable).toBe(true);
            test.pool.tick();
            test.pool.tick();
            expect(test.opened).toEqual([""]);
            await test.accept();
            expect(test.pool.isUnreachable).toBe(false);
            test.pool.close("the test has ended");
        },
    );

    it("would fail if the recovery were tried before the pace allows it", async () => {
        const test = new TestPool(70, 73, createPacing(false));
        await failOpening(test);
        test.pool.tick();
        test.pool.warmUp();
        expect(test.opened).toEqual([]);
    });
});
