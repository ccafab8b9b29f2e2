import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, RequestMode, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PeerClient } from "./PeerClient.ts";
import { PeerServer } from "./PeerServer.ts";

const HOST = "127.0.0.1";

/** A holder that answers when the test says so. */
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

const request = (requestId: number, attempt = 1, transactionId = ""): ForwardRequest => ({
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

const part = (requestId: number, text: string, changes: Partial<AnswerPart> = {}): AnswerPart => ({
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

const until = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
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

    it("carries a request and its answer unchanged", async () => {
        const sent = { ...request(1), idempotencyKey: "r1", requiredPosition: { term: 3, position: 2 ** 45 }, maximumAgeMs: 250 };
        const answer = new Promise<AnswerPart>(resolve => client.send(sent, resolve));
        await until(() => target.answers.length === 1);
        expect(target.requests[0]).toEqual({ ...sent, messages: Buffer.from(sent.messages) });
        target.answers[0]!(part(1, "rows"));
        expect(await answer).toEqual(part(1, "rows"));
    });

    it("gives crossed answers to their own requests", async () => {
        [1, 2, 3].forEach(id => send(request(id)));
        await until(() => target.answers.length === 3);
        [3, 1, 2].forEach(id => target.answers[id - 1]!(part(id, `answer ${id}`)));
        await until(() => received.length === 3);
        expect(received).toEqual(["3.1 0 answer 3", "1.1 0 answer 1", "2.1 0 answer 2"]);
    });

    it("drops and counts an answer that comes twice, late for its attempt, or for nobody", async () => {
        send(request(1));
        await until(() => target.answers.length === 1);
        send(request(1, 2));
        await until(() => target.answers.length === 2);
        target.answers[0]!(part(1, "late"));
        target.answers[1]!(part(1, "right", { attempt: 2 }));
        target.answers[1]!(part(1, "twice", { attempt: 2 }));
        target.answers[1]!(part(99, "nobody's"));
        await until(() => unmatchedCount === 3);
        expect(received).toEqual(["1.2 0 right"]);
    });

    it("settles every outstanding request once as unknown when the stream is lost, and takes no answer of it later", async () => {
        [1, 2].forEach(id => send(request(id)));
        await until(() => target.answers.length === 2);
        target.answers[0]!(part(1, "first", { isLast: false }));
        await until(() => received.length === 1);
        server.close();
        await until(() => received.length === 3);
        target.answers.forEach((answer, index) => answer(part(index + 1, "late")));
        expect(received).toEqual(["1.1 0 first ...", `1.1 ${ResultCode.PeerLost} `, `2.1 ${ResultCode.PeerLost} `]);
    });

    it("says that a request did not run when no stream was ever open, and never sends it afterwards", async () => {
        client.close();
        const sockets: Socket[] = [];
        const silent = createServer(socket => sockets.push(socket.resume()));
        await new Promise<void>(resolve => silent.listen(0, HOST, resolve));
        const { port } = silent.address() as { port: number; };
        client = PeerClient.create(`${HOST}:${port}`, "vm-1");
        send(request(1));
        await until(() => received.length === 1);
        silent.close();
        sockets.forEach(socket => socket.destroy());
        send(request(2));
        await until(() => received.length === 2);
        expect(received).toEqual([`1.1 ${ResultCode.PeerUnreachable} `, `2.1 ${ResultCode.PeerUnreachable} `]);
        expect(target.requests).toEqual([]);
    });

    it.each([
        ["the stream is lost", (): void => client.close()],
        ["the caller has gone", (): void => client.endTransaction("log-1", "one", "t1")],
    ])("ends a transaction that opens after %s", async (_name, leave) => {
        send(request(1, 1, "t1"));
        await until(() => target.answers.length === 1);
        leave();
        await until(() => target.ended.length === 1);
        target.answers[0]!(part(1, "BEGIN", { transactionStatus: TransactionStatus.Open }));
        expect(target.ended).toEqual(["t1", "t1"]);
    });

    it("tells the holder when the caller has taken a part, and lets it go on when the peer is lost", async () => {
        let relayedCount = 0;
        const onRelayed = (): void => {
            relayedCount++;
        };
        client.send(request(1), answer => answer.onRelayed?.());
        await until(() => target.answers.length === 1);
        target.answers[0]!(part(1, "rows", { isLast: false, onRelayed }));
        await until(() => relayedCount === 1);
        client.send(request(2), () => undefined);
        await until(() => target.answers.length === 2);
        target.answers[1]!(part(2, "rows", { isLast: false, onRelayed }));
        client.close();
        await until(() => relayedCount === 2);
        target.answers[1]!(part(2, "rows", { isLast: false, onRelayed }));
        expect(relayedCount).toBe(3);
    });
});
