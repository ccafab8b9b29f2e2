import { MAXIMUM_UNREPORTED_REQUESTS } from "@pomeloturn/admit-request/creditTracker";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { PeerServer } from "@pomeloturn/peer-link/PeerServer";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { type AnswerPart, type ForwardRequest, RequestMode, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RequestRouter } from "./RequestRouter.ts";

const FLOOD_COUNT = 500;

const createRequest = (requestId: number, transactionId = ""): ForwardRequest => ({
    requestId,
    attempt: 1,
    service: "log-core",
    group: "log-1",
    instance: "one",
    rank: 2,
    mode: RequestMode.PrimaryWrite,
    deadlineLeftMs: 5_000,
    term: 1,
    requiredPosition: { term: 0, position: 0 },
    maximumAgeMs: 0,
    transactionId,
    idempotencyKey: "",
    messages: new Uint8Array(1),
});

const createAnswer = ({ requestId, attempt }: ForwardRequest, transactionStatus: TransactionStatus): AnswerPart => ({
    requestId,
    attempt,
    messages: new Uint8Array(0),
    isLast: true,
    resultCode: ResultCode.Ok,
    transactionStatus,
    position: { term: 0, position: 0 },
    serviceTimeUs: 0,
});

describe("RequestRouter", () => {
    let server: PeerServer;
    let router: RequestRouter;
    const pendingAnswers: (() => void)[] = [];
    const target: RequestTarget = {
        send: (request, onPart) => {
            const status = request.transactionId === "" ? TransactionStatus.Idle : TransactionStatus.Open;
            const answer = (): void => onPart(createAnswer(request, status));
            if (request.transactionId === "") {
                pendingAnswers.push(answer);
            }
            else {
                answer();
            }
        },
        cancel: () => undefined,
        endTransaction: () => undefined,
    };

    beforeEach(async () => {
        server = PeerServer.create(target);
        const peerPort = await server.listen("127.0.0.1", 0);
        const view = { vms: { "vm-2": { host: "127.0.0.1", peerPort } } } as unknown as ControlView;
        router = RequestRouter.create("vm-1", target, () => view, () => 0);
    });

    afterEach(() => {
        pendingAnswers.splice(0);
        router.close();
        server.close();
    });

    const sendAndWait = (request: ForwardRequest): Promise<AnswerPart> => new Promise(resolve => router.send("vm-2", request, resolve));

    it("refuses requests beyond the credit before they cross the link, but no statement of an open transaction", async () => {
        await sendAndWait(createRequest(1, "t-1"));
        const codes: number[] = [];
        for (let id = 2; id < 2 + FLOOD_COUNT; id++) {
            router.send("vm-2", createRequest(id), part => codes.push(part.resultCode));
        }
        const inTransaction = await sendAndWait(createRequest(1_000, "t-1"));
        expect(inTransaction.resultCode).toBe(ResultCode.Ok);
        expect(codes).toEqual(Array.from({ length: FLOOD_COUNT - MAXIMUM_UNREPORTED_REQUESTS }, () => ResultCode.QueueFull));
        expect(pendingAnswers).toHaveLength(MAXIMUM_UNREPORTED_REQUESTS);
        router.applyCreditReport("log-1", "one", [0, 0, 3], 1);
        for (let id = 2_000; id < 2_010; id++) {
            router.send("vm-2", createRequest(id), part => codes.push(part.resultCode));
        }
        await sendAndWait(createRequest(1_001, "t-1"));
        expect(pendingAnswers).toHaveLength(MAXIMUM_UNREPORTED_REQUESTS + 3);
    });
});
