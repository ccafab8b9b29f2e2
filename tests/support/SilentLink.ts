import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

const HOST = "127.0.0.1";

/** Directions of a connection that a `SilentLink` can lose. */
export const LostDirection = { ToServer: "toServer", ToClient: "toClient", Both: "both" } as const;
export type LostDirection = typeof LostDirection[keyof typeof LostDirection];

interface Link {
    readonly client: Socket;
    readonly server: Socket;
    /** What the client has sent last. */
    newest: string;
    lost: LostDirection | undefined;
}

/** Forwards TCP connections to a server. It can lose all that is sent on open connections from now on, without a reset; new ones work. */
export class SilentLink {
    private readonly links = new Set<Link>();
    private readonly listener: Server;
    /** While true, new connections are silent from the start too. */
    isCut = false;
    /** Called with each message of a client, after it has been forwarded. */
    private onMessage: (text: string) => void = () => {};
    private onAnswer: (request: string) => void = () => {};

    private constructor(private readonly port: number) {
        this.listener = createServer({ allowHalfOpen: true }, client => this.accept(client));
    }

    /** @param address "host:port" of the server */
    static async start(address: string): Promise<SilentLink> {
        const link = new SilentLink(Number(address.slice(address.lastIndexOf(":") + 1)));
        await new Promise<void>(resolve => link.listener.listen(0, HOST, resolve));
        return link;
    }

    /** "host:port" */
    get address(): string {
        return `${HOST}:${(this.listener.address() as AddressInfo).port}`;
    }

    get openCount(): number {
        return this.links.size;
    }

    /** Resolves when a client has sent a message that matches the pattern. */
    waitForMessage(pattern: RegExp): Promise<void> {
        return new Promise(resolve => {
            this.onMessage = text => {
                if (pattern.test(text)) {
                    this.onMessage = () => {};
                    resolve();
                }
            };
        });
    }

    /** Resolves when the server has answered a message that matches the pattern. */
    waitForAnswer(pattern: RegExp): Promise<void> {
        return new Promise(resolve => {
            this.onAnswer = request => {
                if (pattern.test(request)) {
                    resolve();
                }
            };
        });
    }

    /**
     * Loses all that is sent on the open connections.
     *
     * @param pattern matches the newest message of the connections that are to be silent
     * @returns the number of connections
     */
    silence(lost: LostDirection = LostDirection.Both, pattern = /(?:)/): number {
        const links = [...this.links].filter(link => link.lost === undefined && pattern.test(link.newest));
        links.forEach(link => link.lost = lost);
        return links.length;
    }

    close(): void {
        this.listener.close();
        this.links.forEach(({ client, server }) => [client, server].forEach(socket => socket.destroy()));
    }

    private accept(client: Socket): void {
        const server = connect({ host: HOST, port: this.port, noDelay: true });
        const link: Link = { client, server, newest: "", lost: this.isCut ? LostDirection.Both : undefined };
        this.links.add(link);
        client.setNoDelay(true);
        client.on("data", chunk => {
            link.newest = chunk.toString("latin1");
            this.pass(link, LostDirection.ToServer, () => server.write(chunk));
            this.onMessage(link.newest);
        });
        server.on("data", chunk => {
            this.pass(link, LostDirection.ToClient, () => client.write(chunk));
            this.onAnswer(link.newest);
        });
        const pairs = [[client, server, LostDirection.ToServer], [server, client, LostDirection.ToClient]] as const;
        for (const [from, to, direction] of pairs) {
            from.on("error", () => from.destroy());
            from.on("end", () => this.pass(link, direction, () => to.end()));
            from.on("close", () => {
                this.pass(link, direction, () => to.destroy());
                if (client.destroyed && server.destroyed) {
                    this.links.delete(link);
                }
            });
        }
    }

    private pass({ lost }: Link, direction: LostDirection, deliver: () => void): void {
        if (!this.isCut && lost !== direction && lost !== LostDirection.Both) {
            deliver();
        }
    }
}
