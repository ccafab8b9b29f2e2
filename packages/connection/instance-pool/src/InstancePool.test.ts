import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { describe, expect, it } from "vitest";
import type { ConnectionLease } from "./ConnectionLease.ts";
import { InstancePool } from "./InstancePool.ts";

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
    private readonly pendingStartups: (() => void)[] = [];
    readonly pool = InstancePool.create({
        nowMs: () => 0,
        open: (onClosed, identity) => this.open(onClosed, identity),
        onOpenFailed: () => {},
        onLost: () => {},
    });

    constructor(connectionLimit: number, vmCount: number) {
        this.pool.setLimit(connectionLimit, vmCount);
    }

    /** Lets the instance accept all connections that are being opened. */
    async accept(): Promise<void> {
        this.pendingStartups.splice(0).forEach(resolve => resolve());
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
            startupReply: new Promise(resolve => this.pendingStartups.push(() => resolve(OPENED))),
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
