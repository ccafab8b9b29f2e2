import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { setTimeout as delay } from "node:timers/promises";
import { serialize } from "pg-protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LocalHolders } from "../programs/proxy/src/LocalHolders.ts";
import { Standin } from "../programs/standin/src/Standin.ts";
import type { StandinSettings } from "../programs/standin/src/StandinSettings.ts";
import { SilentLink } from "./support/SilentLink.ts";
import { createSmallDeployment } from "./support/smallDeployment.ts";

const NO_EXPIRY_MS = 1e15;
const SLOTS = 2;
/** A connection that is idle for longer is checked before it is used. */
const IDLE_UNTIL_CHECKED_MS = 2_200;

describe("the holder of a primary", () => {
    let standin: Standin;
    let holders: LocalHolders;
    let view: ControlView;
    let nextRequestId = 1;

    beforeEach(async () => {
        const deployment = await createSmallDeployment(1, { expiresAtMs: NO_EXPIRY_MS });
        standin = await Standin.create(deployment.standin as unknown as StandinSettings, monotonicNowMs);
        view = deployment.view;
        holders = LocalHolders.create("vm-1", () => view, monotonicNowMs);
    });

    afterEach(() => {
        holders.close();
        standin.close();
    });

    const run = (text: string, overrides: Partial<ForwardRequest> = {}): Promise<AnswerPart> =>
        new Promise(resolve =>
            holders.send({
                requestId: nextRequestId++,
                attempt: 1,
                service: "log-core",
                group: "log-1",
                instance: "one",
                rank: 1,
                mode: RequestMode.PrimaryWrite,
                deadlineLeftMs: 10_000,
                term: 1,
                requiredPosition: { term: 0, position: 0 },
                maximumAgeMs: 0,
                transactionId: `t-${nextRequestId}`,
                idempotencyKey: "",
                messages: serialize.query(text),
                ...overrides,
            }, part => part.isLast ? resolve(part) : undefined)
        );

    const assignHolderToOtherVm = (): void => {
        const group = view.groups["log-1"]!;
        view = { ...view, groups: { "log-1": { ...group, holders: { ...group.holders, one: "vm-2" } } } };
    };

    it("answers a canceled request that was still queued with a result code that says it did not run", async () => {
        const running = Array.from({ length: SLOTS }, () => run("SELECT pg_sleep(0.4)"));
        const waiting = run("INSERT INTO entries (key, value) VALUES ('never', 'x')", { requestId: 9_000 });
        holders.cancel(9_000);
        expect((await waiting).resultCode).toBe(ResultCode.CanceledBeforeRun);
        await Promise.all(running);
        expect(standin.findInstance("log-1", "one")!.store.read("entries", "never")).toBeUndefined();
    });

    it("serves only its open transactions after another VM has become the holder", async () => {
        const beginAnswer = await run("BEGIN", { transactionId: "t-open" });
        expect(beginAnswer.transactionStatus).toBe(TransactionStatus.Open);
        assignHolderToOtherVm();
        expect((await run("SELECT 1")).resultCode).toBe(ResultCode.NotHolder);
        const step = { transactionId: "t-open", mode: RequestMode.TransactionStep };
        await run("INSERT INTO entries (key, value) VALUES ('kept', 'x')", step);
        expect(await run("COMMIT", step)).toMatchObject({ resultCode: ResultCode.Ok, transactionStatus: TransactionStatus.Idle });
    });

    it("stops a statement that runs past its deadline", async () => {
        const answer = await run("SELECT pg_sleep(20)", { deadlineLeftMs: 100 });
        expect(answer.resultCode).toBe(ResultCode.DeadlineWhileRunning);
    });

    it("runs statements of open transactions while other requests occupy all slots", async () => {
        await run("BEGIN", { transactionId: "t-open" });
        const step = { transactionId: "t-open", mode: RequestMode.TransactionStep };
        await run("INSERT INTO entries (key, value) VALUES ('locked', 'x')", step);
        // The requests in both slots wait for the lock that the transaction holds.
        const blocked = Array.from({ length: SLOTS }, () => run("UPDATE entries SET value = 'y' WHERE key = 'locked'"));
        expect((await run("COMMIT", step)).resultCode).toBe(ResultCode.Ok);
        expect((await Promise.all(blocked)).map(({ resultCode }) => resultCode)).toEqual([ResultCode.Ok, ResultCode.Ok]);
    });

    it("answers a request that waits for the check of an idle connection while the holder closes", async () => {
        const { host, port } = view.configuration.groups["log-1"]!.instances["one"]!;
        const link = await SilentLink.start(`${host}:${port}`);
        const group = view.configuration.groups["log-1"]!;
        const instances = { ...group.instances, one: { ...group.instances["one"]!, port: Number(link.address.split(":")[1]) } };
        view = { ...view, configuration: { ...view.configuration, groups: { "log-1": { ...group, instances } } } };
        await run("SELECT 1");
        await delay(IDLE_UNTIL_CHECKED_MS);
        link.silence();
        const waiting = run("SELECT 1");
        await delay(50);
        holders.close();
        expect((await waiting).resultCode).toBe(ResultCode.BackendUnreachable);
        link.close();
    });

    it("reports an instance that cannot be reached", async () => {
        const unreachableInstance = new Promise<string>(resolve => {
            holders.onInstanceHealth = (group, instance, isReachable) => isReachable ? undefined : resolve(`${group}/${instance}`);
        });
        await run("SELECT 1");
        standin.applyFault({ group: "log-1", instance: "one", instanceFaults: { isStopped: true } });
        expect(await unreachableInstance).toBe("log-1/one");
    });
});
