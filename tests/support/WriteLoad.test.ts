import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, expect, it } from "vitest";
import { ControlledDeployment } from "./ControlledDeployment.ts";
import { WriteLoad } from "./WriteLoad.ts";

const LOAD_MS = 200;
/** Stands for the processes of the VM, which the test does not start. */
const stopped = { kill: () => Promise.resolve(0) };
const LENGTH_FIELD_SIZE_BYTES = 4;

const createMessage = (type: string, body: Buffer): Buffer => {
    const length = Buffer.alloc(LENGTH_FIELD_SIZE_BYTES);
    length.writeUInt32BE(LENGTH_FIELD_SIZE_BYTES + body.length);
    return Buffer.concat([Buffer.from(type), length, body]);
};

const AUTHENTICATION_OK = createMessage("R", Buffer.alloc(4));
const READY_FOR_QUERY = createMessage("Z", Buffer.from("I"));
const INSERTED = Buffer.concat([
    createMessage("1", Buffer.alloc(0)),
    createMessage("2", Buffer.alloc(0)),
    createMessage("n", Buffer.alloc(0)),
    createMessage("C", Buffer.from("INSERT 0 1\0")),
    READY_FOR_QUERY,
]);
const SHUTTING_DOWN = createMessage("E", Buffer.from("SFATAL\0C57P01\0Mthe proxy is shutting down\0\0"));

let server: Server;

afterEach(() => server.close());

// A caller that misses the end of its connection repeats its query without yielding to the event loop, and the test run hangs.
it("reconnects when the proxy accepts a caller and ends its connection in the same write", async () => {
    let connectionCount = 0;
    server = createServer(socket => {
        connectionCount++;
        const isFirst = connectionCount === 1;
        socket.once("data", () => {
            if (isFirst) {
                socket.end(Buffer.concat([AUTHENTICATION_OK, READY_FOR_QUERY, SHUTTING_DOWN]));
                return;
            }
            socket.write(Buffer.concat([AUTHENTICATION_OK, READY_FOR_QUERY]));
            socket.on("data", () => socket.write(INSERTED));
        });
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const deployment = Object.create(ControlledDeployment.prototype) as ControlledDeployment;
    Object.assign(deployment, {
        vms: [{ callerPort: (server.address() as AddressInfo).port, controller: stopped, proxy: stopped }],
        clients: [],
    });
    const load = WriteLoad.create(deployment, [0]);
    await new Promise(resolve => setTimeout(resolve, LOAD_MS));
    const { acknowledged, unknown } = await load.stop();
    await deployment.close();
    expect(unknown).toEqual([]);
    expect(acknowledged.length).toBeGreaterThan(0);
    expect(connectionCount).toBe(2);
});
