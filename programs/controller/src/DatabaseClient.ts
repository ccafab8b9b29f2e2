import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Configuration, GroupConfiguration, InstanceConfiguration } from "@pomeloturn/types/Configuration";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import { KEEP_ALIVE_OPTIONS } from "@pomeloturn/types/keepAlive";
import type { DatabaseControl, InstanceProbe } from "@pomeloturn/types/Leadership";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import pg from "pg";

const CONNECT_TIMEOUT_MS = 1_000;
const QUERY_TIMEOUT_MS = 1_000;
const REPLAY_TIMEOUT_MS = 800;
const REPLAY_POLL_INTERVAL_MS = 20;
const TIMELINE_DIGIT_COUNT = 8;
const HEXADECIMAL_RADIX = 16;

/** Probes, promotes and redirects the instances of the database groups over the PostgreSQL protocol. */
export class DatabaseClient implements DatabaseControl {
    private readonly clients = new Map<string, Promise<pg.Client>>();

    private constructor(
        private readonly vm: string,
        private readonly configuration: () => Configuration | undefined,
        private readonly onCloseFailed: (subject: string, error: Error) => void,
    ) {}

    /** @param onCloseFailed called for a connection that never opened or that failed to close; it is discarded in both cases */
    static create(
        vm: string,
        configuration: () => Configuration | undefined,
        onCloseFailed: (subject: string, error: Error) => void,
    ): DatabaseClient {
        return new DatabaseClient(vm, configuration, onCloseFailed);
    }

    probe(group: string, instance: string): Promise<InstanceProbe> {
        return this.runWithClient(group, instance, async client => {
            const isReplica = (await readValue(client, "SELECT pg_is_in_recovery()")) === "t";
            const position = await readValue(client, isReplica ? "SELECT pg_last_wal_replay_lsn()" : "SELECT pg_current_wal_insert_lsn()");
            const timeline = isReplica ? await readReplicaTimeline(client) : await readPrimaryTimeline(client);
            return { isReplica, position: parseLogSequenceNumber(position) ?? 0, timeline };
        });
    }

    async promote(group: string, instance: string): Promise<void> {
        await this.runWithClient(group, instance, client => client.query("SELECT pg_promote()"));
    }

    async follow(group: string, instance: string, upstream: string): Promise<void> {
        await this.runWithClient(group, instance, async client => {
            await client.query(`ALTER SYSTEM SET primary_conninfo = '${this.buildConnectionInfo(group, upstream).replaceAll("'", "''")}'`);
            await client.query("SELECT pg_reload_conf()");
            if (upstream === "") {
                await waitForReplay(client);
            }
        });
    }

    /** Closes the connections to all instances. */
    close(): void {
        for (const key of [...this.clients.keys()]) {
            this.closeConnection(key);
        }
    }

    private closeConnection(key: string): void {
        const client = this.clients.get(key);
        this.clients.delete(key);
        void client?.then(each => each.end()).catch((error: Error) => this.onCloseFailed(key, error));
    }

    private buildConnectionInfo(group: string, upstream: string): string {
        if (upstream === "") {
            return "";
        }
        const { database, user, password } = this.getGroup(group);
        const { host, port } = this.getInstance(group, upstream);
        return `host=${host} port=${port} user=${user} password=${password} dbname=${database} application_name=${upstream}`;
    }

    private getGroup(group: string): GroupConfiguration {
        const found = this.configuration()?.groups[group];
        if (found === undefined) {
            throw PomeloturnError.create(ResultCode.NoInstance, `database group ${group} is not configured`);
        }
        return found;
    }

    private getInstance(group: string, instance: string): InstanceConfiguration {
        const found = this.getGroup(group).instances[instance];
        if (found === undefined) {
            throw PomeloturnError.create(ResultCode.NoInstance, `instance ${group}/${instance} is not configured`);
        }
        return found;
    }

    /** @throws PomeloturnError with `BackendUnreachable`; the action may have taken effect */
    private async runWithClient<Result>(group: string, instance: string, action: (client: pg.Client) => Promise<Result>): Promise<Result> {
        const key = instanceKey(group, instance);
        try {
            const client = this.clients.get(key) ?? this.connect(group, instance);
            this.clients.set(key, client);
            return await action(await client);
        }
        catch (error) {
            this.closeConnection(key);
            throw PomeloturnError.create(ResultCode.BackendUnreachable, `the request to instance ${key} failed`, error as Error);
        }
    }

    /** Opens the connection to an instance, which is reused until a request fails on it. */
    private async connect(group: string, instance: string): Promise<pg.Client> {
        const { database, user, password } = this.getGroup(group);
        const { host, port } = this.getInstance(group, instance);
        const client = new pg.Client({
            host,
            port,
            database,
            user,
            password,
            application_name: this.vm,
            connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
            query_timeout: QUERY_TIMEOUT_MS,
            keepAlive: KEEP_ALIVE_OPTIONS.keepAlive,
            keepAliveInitialDelayMillis: KEEP_ALIVE_OPTIONS.keepAliveInitialDelay,
        });
        client.on("error", () => this.closeConnection(instanceKey(group, instance)));
        await client.connect();
        return client;
    }
}

const readValue = async (client: pg.Client, text: string): Promise<string> => {
    const result = await client.query<unknown[]>({ text, rowMode: "array" });
    const value = result.rows[0]?.[0];
    if (typeof value === "boolean") {
        return value ? "t" : "f";
    }
    return typeof value === "string" || typeof value === "number" ? String(value) : "";
};

/** The first 8 hexadecimal digits of a WAL file's name are the timeline. */
const readPrimaryTimeline = async (client: pg.Client): Promise<number> =>
    Number.parseInt(
        (await readValue(client, "SELECT pg_walfile_name(pg_current_wal_insert_lsn())")).slice(0, TIMELINE_DIGIT_COUNT),
        HEXADECIMAL_RADIX,
    );

/** @returns 0 when the replica has no WAL receiver */
const readReplicaTimeline = async (client: pg.Client): Promise<number> =>
    Number(await readValue(client, "SELECT received_tli FROM pg_stat_wal_receiver"));

/** Waits until the received WAL is replayed. @throws Error after `REPLAY_TIMEOUT_MS` */
const waitForReplay = async (client: pg.Client): Promise<void> => {
    for (let waitedMs = 0; waitedMs <= REPLAY_TIMEOUT_MS; waitedMs += REPLAY_POLL_INTERVAL_MS) {
        const received = parseLogSequenceNumber(await readValue(client, "SELECT pg_last_wal_receive_lsn()")) ?? 0;
        const replayed = parseLogSequenceNumber(await readValue(client, "SELECT pg_last_wal_replay_lsn()")) ?? 0;
        if (replayed >= received) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, REPLAY_POLL_INTERVAL_MS));
    }
    throw new Error(`the replica did not replay the received WAL within ${REPLAY_TIMEOUT_MS} ms`);
};
