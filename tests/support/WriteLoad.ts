import type { Client, DatabaseError } from "pg";
import type { ControlledDeployment } from "./ControlledDeployment.ts";

/** A write that did not run. */
export interface RefusedWrite {
    readonly key: string;
    /** Index of the VM that the caller was connected to. */
    readonly vm: number;
    readonly message: string;
}

/** How the requests of a load ended. */
export interface LoadOutcome {
    /** Keys whose write was acknowledged. */
    readonly acknowledged: string[];
    /** Keys whose write was refused as not run, with the error. */
    readonly refused: RefusedWrite[];
    /** Errors that leave the outcome open. */
    readonly unknown: string[];
}

interface Connection {
    readonly vm: number;
    client: Client;
    /** Whether the caller was told to leave; it sends nothing on the connection any more. */
    isLost: boolean;
}

/** Callers that write one key after the other until they are stopped, and connect anew when told to leave. */
export class WriteLoad {
    readonly outcome: LoadOutcome = { acknowledged: [], refused: [], unknown: [] };
    private isStopped = false;
    private readonly callers: Promise<void>[];

    private constructor(private readonly deployment: ControlledDeployment, private readonly vms: readonly number[]) {
        this.callers = vms.map((_vm, caller) => this.run(caller));
    }

    /** @param vms index of the first VM that each caller connects to */
    static create(deployment: ControlledDeployment, vms: readonly number[]): WriteLoad {
        return new WriteLoad(deployment, vms);
    }

    async stop(): Promise<LoadOutcome> {
        this.isStopped = true;
        await Promise.all(this.callers);
        return this.outcome;
    }

    private async run(caller: number): Promise<void> {
        let connection = await this.connect(this.vms[caller]!);
        for (let number = 0; !this.isStopped; number++) {
            if (connection.isLost) {
                connection = await this.connect(connection.vm + 1);
            }
            const key = `${caller}-${number}`;
            try {
                await connection.client.query("INSERT INTO entries (key, value) VALUES ($1, 'x')", [key]);
                this.outcome.acknowledged.push(key);
            }
            catch (error) {
                this.note(key, connection.vm, error as DatabaseError);
                // A fatal error is the last message of its connection.
                connection.isLost ||= (error as DatabaseError).severity === "FATAL";
            }
        }
    }

    /** Connects to a VM, or to the next ones while that fails. */
    private async connect(firstVm: number): Promise<Connection> {
        let vm = firstVm;
        return this.deployment.waitFor(async () => {
            const connection: Connection = { vm: vm++ % this.deployment.vms.length, client: undefined!, isLost: false };
            connection.client = await this.deployment.tryConnect(connection.vm);
            connection.client.on("error", () => {
                connection.isLost = true;
            });
            return connection;
        });
    }

    private note(key: string, vm: number, error: DatabaseError): void {
        if (error.detail?.includes("effect=not run") === true) {
            this.outcome.refused.push({ key, vm, message: error.message });
        }
        else {
            this.outcome.unknown.push(`${key}: ${error.message} ${error.detail ?? ""}`);
        }
    }
}
