import { createServer, type Server, type Socket } from "node:net";
import type { DatabaseInstance } from "./DatabaseInstance.ts";
import { InstanceConnection } from "./InstanceConnection.ts";

/** Serves a simulated instance over the PostgreSQL protocol. */
export class InstanceServer {
    private readonly server: Server;
    private readonly connections = new Set<InstanceConnection>();

    private constructor(private readonly instance: DatabaseInstance, private readonly nowMs: () => number) {
        this.server = createServer(socket => this.accept(socket));
        instance.onFaultsChanged = () => this.applyFaults();
    }

    static create(instance: DatabaseInstance, nowMs: () => number): InstanceServer {
        return new InstanceServer(instance, nowMs);
    }

    listen(host: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve());
        });
    }

    close(): void {
        this.server.close();
        for (const connection of this.connections) {
            connection.destroy();
        }
    }

    private accept(socket: Socket): void {
        if (this.instance.faults.isStopped) {
            socket.destroy();
            return;
        }
        const connection = InstanceConnection.create(socket, this.instance, this.nowMs);
        this.connections.add(connection);
        socket.on("close", () => this.connections.delete(connection));
    }

    /** Closes the connections of a stopped instance and suspends those of partitioned VMs. */
    private applyFaults(): void {
        for (const connection of this.connections) {
            if (this.instance.faults.isStopped) {
                connection.destroy();
            }
            else {
                connection.setPartitioned(this.instance.faults.cutVms.includes(connection.vm));
            }
        }
    }
}
