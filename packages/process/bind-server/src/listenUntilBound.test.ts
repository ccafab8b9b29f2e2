import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { expect, it, vi } from "vitest";
import { listenUntilBound } from "./listenUntilBound.ts";

it("does not run on without its address when that is in use at the start", async () => {
    const other = createServer().listen(0, "127.0.0.1");
    await once(other, "listening");
    const { port } = other.address() as AddressInfo;
    const errors: string[] = [];
    const server = createServer();
    listenUntilBound(server, { host: "127.0.0.1", port }, error => errors.push((error as NodeJS.ErrnoException).code ?? ""));
    await vi.waitFor(() => expect(errors).toContain("EADDRINUSE"));
    expect(server.listening).toBe(false);
    other.close();
    await vi.waitFor(() => expect(server.listening).toBe(true));
    server.close();
});
