import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { expect, it } from "vitest";
import { ControlServer } from "./ControlServer.ts";
import { PeerStreams } from "./PeerStreams.ts";

type ControlMessage = pomeloturn.control.IControlMessage;

it("answers a VM that is known only by its address over the same stream", async () => {
    let server: ControlServer | undefined;
    let streams: PeerStreams | undefined;
    try {
        const answered = new Promise<ControlMessage>(resolve => {
            server = ControlServer.create((_hello, writer) => {
                writer.send({ configurationOffer: { version: 2 } });
                return {
                    onMessage: message => {
                        if (message.configurationRequest) {
                            resolve(message);
                        }
                    },
                    onLost: () => undefined,
                };
            });
        });
        const port = await server!.listen("127.0.0.1", 0);
        streams = PeerStreams.create({
            hello: () => ({ self: { vm: "vm-1" } }),
            addressOf: () => undefined,
            onMessage: from => streams?.send(from, { configurationRequest: {} }),
            nowMs: () => 0,
        });
        streams.sendToAddress(`127.0.0.1:${port}`, { membersRequest: { failureDomain: "" } });
        expect((await answered).configurationRequest).toBeTruthy();
    }
    finally {
        streams?.close();
        server?.close();
    }
});
