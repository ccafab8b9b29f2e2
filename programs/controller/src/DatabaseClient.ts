import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Configuration, GroupConfiguration, InstanceConfiguration } from "@pomeloturn/types/Configuration";
import type { DatabaseControl, InstanceProbe } from "@pomeloturn/types/Leadership";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import pg from "pg";

const CONNECT_TIMEOUT_MS = 1_000;
const QUERY_TIMEOUT_MS = 1_000;
const TIMELINE_HEX_DIGITS = 8;
const HEXADECIMAL = 16;

/** Probes and orders the database servers over the PostgreSQL protocol. */
export class DatabaseClient implements DatabaseControl {
    private constructor(private readonly vm: string, private readonly configuration: () => Configuration | undefined) {}

    static create(vm: string, configuration: () => Configuration | undefined): DatabaseClient {
        return new DatabaseClient(vm, configuration);
    }

    probe(group: string, instance: string): Promise<InstanceProbe> {
        return this.run(group, instance, async client => {
            const isReplica = (await readValue(client, "SELECT pg_is_in_recovery()")) === "t";
            const position = await readValue(client, isReplica ? "SELECT pg_last_wal_replay_lsn()" : "SELECT pg_current_wal_insert_lsn()");
            const timeline = isReplica ? await readReplicaTimeline(client) : await readPrimaryTimeline(client);
            return { isReplica, position: parseLogSequenceNumber(position) ?? 0, timeline };
        });
    }

    async promote(group: string, instance: string): Promise<void> {
        await this.run(group, instance, client => client.query("SELECT pg_promote()"));
    }

    async follow(group: string, instance: string, upstream: string): Promise<void> {
        const { database, user, password } = this.findGroup(group);
        const { host, port } = this.find(group, upstream);
        const target = `host=${host} port=${port} user=${user} password=${password} dbname=${database} application_name=${upstream}`;
        await this.run(group, instance, async client => {
            await client.query(`ALTER SYSTEM SET primary_conninfo = '${target.replaceAll("'", "''")}'`);
            await client.query("SELECT pg_reload_conf()");
        });
    }

    private findGroup(group: string): GroupConfiguration {
        const found = this.configuration()?.groups[group];
        if (found === undefined) {
            throw PomeloturnError.create(ResultCode.NoInstance, group);
        }
        return found;
    }

    private find(group: string, instance: string): InstanceConfiguration {
        const found = this.findGroup(group).instances[instance];
        if (found === undefined) {
            throw PomeloturnError.create(ResultCode.NoInstance, `${group}/${instance}`);
        }
        return found;
    }

    /** @throws PomeloturnError with `BackendUnreachable`; an order may have taken effect */
    private async run<Result>(group: string, instance: string, action: (client: pg.Client) => Promise<Result>): Promise<Result> {
        const { database, user, password } = this.findGroup(group);
        const { host, port } = this.find(group, instance);
        const client = new pg.Client({
            host,
            port,
            database,
            user,
            password,
            application_name: this.vm,
            connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
            query_timeout: QUERY_TIMEOUT_MS,
        });
        client.on("error", () => undefined);
        try {
            await client.connect();
            return await action(client);
        }
        catch (error) {
            throw PomeloturnError.create(ResultCode.BackendUnreachable, `${group}/${instance}`, error as Error);
        }
        finally {
            void client.end().catch(() => undefined);
        }
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

/** The first 8 hexadecimal digits of a log file's name are the timeline. */
const readPrimaryTimeline = async (client: pg.Client): Promise<number> =>
    Number.parseInt(
        (await readValue(client, "SELECT pg_walfile_name(pg_current_wal_insert_lsn())")).slice(0, TIMELINE_HEX_DIGITS),
        HEXADECIMAL,
    );

/** 0 when the replica receives nothing. */
const readReplicaTimeline = async (client: pg.Client): Promise<number> =>
    Number(await readValue(client, "SELECT received_tli FROM pg_stat_wal_receiver"));
