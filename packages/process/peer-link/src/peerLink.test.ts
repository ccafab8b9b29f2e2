import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, RequestMode, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PeerClient } from "./PeerClient.ts";
import { PeerServer } from "./PeerServer.ts";

const HOST = "127.0.0.1";

/** A request target whose answers the test sends. */
class FakeTarget implements RequestTarget {
    readonly requests: ForwardRequest[] = [];
    readonly answers: ((part: AnswerPart) => void)[] = [];
    readonly ended: string[] = [];

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        this.requests.push(request);
        this.answers.push(onPart);
    }

    cancel(): void {}

    endTransaction(_group: string, _instance: string, transactionId: string): void {
        this.ended.push(transactionId);
    }
}

const createRequest = (requestId: number, attempt = 1, transactionId = ""): ForwardRequest => ({
    requestId,
    attempt,
    service: "log-core",
    group: "log-1",
    instance: "one",
    rank: 0,
    mode: RequestMode.PrimaryWrite,
    deadlineLeftMs: 1_000,
    term: 1,
    requiredPosition: { term: 0, position: 0 },
    maximumAgeMs: 0,
    transactionId,
    idempotencyKey: "",
    messages: new Uint8Array([1]),
});

const createPart = (requestId: number, text: string, changes: Partial<AnswerPart> = {}): AnswerPart => ({
    requestId,
    attempt: 1,
    messages: Buffer.from(text),
    isLast: true,
    resultCode: ResultCode.Ok,
    transactionStatus: TransactionStatus.Idle,
    position: { term: 1, position: 7 },
    serviceTimeUs: 1,
    ...changes,
});

const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 1));
    }
};

describe("peer link", () => {
    let target: FakeTarget;
    let server: PeerServer;
    let client: PeerClient;
    let unmatchedCount: number;
    let received: string[];

    const send = (each: ForwardRequest): void => {
        client.send(each, ({ messages, resultCode, isLast }) => {
            received.push(`${each.requestId}.${each.attempt} ${resultCode} ${Buffer.from(messages).toString()}${isLast ? "" : " ..."}`);
        });
    };

    beforeEach(async () => {
        target = new FakeTarget();
        server = PeerServer.create(target);
        const port = await server.listen(HOST, 0);
        client = PeerClient.create(`${HOST}:${port}`, "vm-1");
        unmatchedCount = 0;
        client.onUnmatchedAnswer = () => unmatchedCount++;
        received = [];
    });

    afterEach(() => {
        client.close();
        server.close();
    });

    it("transmits a request and its answer unchanged", async () => {
        const sent = { ...createRequest(1), idempotencyKey: "r1", requiredPosition: { term: 3, position: 2 ** 45 }, maximumAgeMs: 250 };
        const answer = new Promise<AnswerPart>(resolve => client.send(sent, resolve));
        await waitUntil(() => target.answers.length === 1);
        expect(target.requests[0]).toEqual({ ...sent, messages: Buffer.from(sent.messages) });
        target.answers[0]!(createPart(1, "rows"));
        expect(await answer).toEqual(createPart(1, "rows"));
    });

    it("matches answers that arrive out of order to their requests", async () => {
        [1, 2, 3].forEach(id => send(createRequest(id)));
        await waitUntil(() => target.answers.length === 3);
        [3, 1, 2].forEach(id => target.answers[id - 1]!(createPart(id, `answer ${id}`)));
        await waitUntil(() => received.length === 3);
        expect(received).toEqual(["3.1 0 answer 3", "1.1 0 answer 1", "2.1 0 answer 2"]);
    });

    it("drops and counts an answer that is a duplicate, belongs to an earlier attempt or matches no request", async () => {
        send(createRequest(1));
        await waitUntil(() => target.answers.length === 1);
        send(createRequest(1, 2));
        await waitUntil(() => target.answers.length === 2);
        target.answers[0]!(createPart(1, "late"));
        target.answers[1]!(createPart(1, "right", { attempt: 2 }));
        target.answers[1]!(createPart(1, "twice", { attempt: 2 }));
        target.answers[1]!(createPart(99, "nobody's"));
        await waitUntil(() => unmatchedCount === 3);
        expect(received).toEqual(["1.2 0 right"]);
    });

    it("ends every outstanding request exactly once with PeerLost when the stream is lost, and ignores later answers", async () => {
        [1, 2].forEach(id => send(createRequest(id)));
        await waitUntil(() => target.answers.length === 2);
        target.answers[0]!(createPart(1, "first", { isLast: false }));
        await waitUntil(() => received.length === 1);
        server.close();
        await waitUntil(() => received.length === 3);
        target.answers.forEach((answer, index) => answer(createPart(index + 1, "late")));
        expect(received).toEqual(["1.1 0 first ...", `1.1 ${ResultCode.PeerLost} `, `2.1 ${ResultCode.PeerLost} `]);
    });

    it("ends a request with PeerUnreachable when no stream could be opened, and never sends it afterwards", async () => {
        client.close();
        const sockets: Socket[] = [];
        const silent = createServer(socket => sockets.push(socket.resume()));
        await new Promise<void>(resolve => silent.listen(0, HOST, resolve));
        const { port } = silent.address() as { port: number; };
        client = PeerClient.create(`${HOST}:${port}`, "vm-1");
        send(createRequest(1));
        await waitUntil(() => received.length === 1);
        silent.close();
        sockets.forEach(socket => socket.destroy());
        send(createRequest(2));
        await waitUntil(() => received.length === 2);
        expect(received).toEqual([`1.1 ${ResultCode.PeerUnreachable} `, `2.1 ${ResultCode.PeerUnreachable} `]);
        expect(target.requests).toEqual([]);
    });

    it.each([
        ["the stream was lost", (): void => client.close()],
        ["the caller disconnected", (): void => client.endTransaction("log-1", "one", "t1")],
    ])("ends a transaction that opens after %s", async (_name, disconnect) => {
        send(createRequest(1, 1, "t1"));
        await waitUntil(() => target.answers.length === 1);
        disconnect();
        await waitUntil(() => target.ended.length === 1);
        target.answers[0]!(createPart(1, "BEGIN", { transactionStatus: TransactionStatus.Open }));
        expect(target.ended).toEqual(["t1", "t1"]);
    });

    it("notifies the holder when the caller has received a part, and also when the peer is lost", async () => {
        let relayedCount = 0;
        const onRelayed = (): void => {
            relayedCount++;
        };
        client.send(createRequest(1), answer => answer.onRelayed?.());
        await waitUntil(() => target.answers.length === 1);
        target.answers[0]!(createPart(1, "rows", { isLast: false, onRelayed }));
        await waitUntil(() => relayedCount === 1);
        client.send(createRequest(2), () => undefined);
        await waitUntil(() => target.answers.length === 2);
        target.answers[1]!(createPart(2, "rows", { isLast: false, onRelayed }));
        client.close();
        await waitUntil(() => relayedCount === 2);
        target.answers[1]!(createPart(2, "rows", { isLast: false, onRelayed }));
        expect(relayedCount).toBe(3);
    });
});
