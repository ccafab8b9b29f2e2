import type { Client, DatabaseError } from "pg";
import type { ControlledDeployment } from "./ControlledDeployment.ts";

/** Write that was refused without having run. */
export interface RefusedWrite {
    readonly key: string;
    /** Index of the VM that the caller was connected to. */
    readonly vmIndex: number;
    readonly message: string;
}

/** Outcomes of the writes of a load. */
export interface WriteLoadOutcome {
    /** Keys of acknowledged writes. */
    readonly acknowledged: string[];
    /** Writes that failed with `effect=not run`. */
    readonly refused: RefusedWrite[];
    /** Key and error of each write whose outcome is unknown. */
    readonly unknown: string[];
}

interface CallerConnection {
    readonly vm: number;
    client: Client;
    /** Whether the proxy has terminated the connection; the caller sends no more statements on it. */
    isTerminated: boolean;
}

/** Runs callers that each write one key after the other until `stop`, and reconnect at the next VM when the proxy ends their connection. */
export class WriteLoad {
    readonly outcome: WriteLoadOutcome = { acknowledged: [], refused: [], unknown: [] };
    private isStopped = false;
    private readonly callers: Promise<void>[];

    private constructor(private readonly deployment: ControlledDeployment, private readonly firstVms: readonly number[]) {
        this.callers = firstVms.map((_vm, caller) => this.run(caller));
    }

    /** @param firstVms for each caller, the index of the VM that it connects to first */
    static create(deployment: ControlledDeployment, firstVms: readonly number[]): WriteLoad {
        return new WriteLoad(deployment, firstVms);
    }

    async stop(): Promise<WriteLoadOutcome> {
        this.isStopped = true;
        await Promise.all(this.callers);
        return this.outcome;
    }

    private async run(caller: number): Promise<void> {
        let connection = await this.connect(this.firstVms[caller]!);
        for (let number = 0; !this.isStopped; number++) {
            if (connection.isTerminated) {
                connection = await this.connect(connection.vm + 1);
            }
            const key = `${caller}-${number}`;
            try {
                await connection.client.query("INSERT INTO entries (key, value) VALUES ($1, 'x')", [key]);
                this.outcome.acknowledged.push(key);
            }
            catch (error) {
                this.recordError(key, connection.vm, error as DatabaseError);
                // A fatal error is the last message of its connection.
                connection.isTerminated ||= (error as DatabaseError).severity === "FATAL";
            }
        }
    }

    /** Connects to a VM; tries the following VMs in turn while that fails. */
    private async connect(firstVm: number): Promise<CallerConnection> {
        let vm = firstVm;
        return this.deployment.waitFor(async () => {
            const connection: CallerConnection = { vm: vm++ % this.deployment.vms.length, client: undefined!, isTerminated: false };
            connection.client = await this.deployment.tryConnect(connection.vm, "", () => {
                connection.isTerminated = true;
            });
            return connection;
        });
    }

    private recordError(key: string, vmIndex: number, error: DatabaseError): void {
        if (error.detail?.includes("effect=not run") === true) {
            this.outcome.refused.push({ key, vmIndex, message: error.message });
        }
        else {
            this.outcome.unknown.push(`${key}: ${error.message} ${error.detail ?? ""}`);
        }
    }
}
