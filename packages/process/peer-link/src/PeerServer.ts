import { Server } from "@grpc/grpc-js";
import { bindServer } from "@pomeloturn/bind-server/bindServer";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { RequestTarget } from "@pomeloturn/types/Request";
import { CHANNEL_OPTIONS } from "./channelOptions.ts";
import { peerService } from "./peerService.ts";
import { ServedStream, type ServerStream } from "./ServedStream.ts";

/** Accepts the streams of other proxies and passes their requests to the local holders. */
export class PeerServer {
    private readonly server: Server;
    private readonly streams = new Set<ServedStream>();
    /** Called when a peer requests the status of the instances that this VM holds. */
    onStatusRequest: (vm: string, onStatus: (status: pomeloturn.peer.IInstanceStatus) => void) => void = () => undefined;

    private constructor(private readonly target: RequestTarget) {
        this.server = new Server(CHANNEL_OPTIONS);
        this.server.addService(peerService, { exchange: (stream: ServerStream) => this.accept(stream) });
    }

    static create(target: RequestTarget): PeerServer {
        return new PeerServer(target);
    }

    /** @returns the port that was bound */
    listen(host: string, port: number): Promise<number> {
        return bindServer(this.server, host, port);
    }

    close(): void {
        this.server.forceShutdown();
    }

    private accept(stream: ServerStream): void {
        const served = ServedStream.create(stream, {
            target: this.target,
            onStatusRequest: (vm, onStatus) => this.onStatusRequest(vm, onStatus),
        });
        this.streams.add(served);
        const end = (): void => {
            if (this.streams.delete(served)) {
                served.end();
            }
        };
        stream.on("end", () => {
            stream.end();
            end();
        });
        stream.on("error", end);
        stream.on("cancelled", end);
    }
}
