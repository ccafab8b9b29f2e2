import { SAMPLE_SERVICE } from "@pomeloturn/standin/sampleConfiguration";
import pg from "pg";

/** PostgreSQL client that stores the session token reported by the proxy. */
export class DemoCaller {
    /** Latest token that the proxy reported; empty before the first write. */
    token = "";
    /** Whether the connection has ended. */
    isDisconnected = false;

    private constructor(private readonly client: pg.Client) {
        const { connection } = client as unknown as { readonly connection: NodeJS.EventEmitter; };
        connection.on("parameterStatus", (message: { readonly parameterName: string; readonly parameterValue: string; }) => {
            if (message.parameterName === "pomeloturn.token") {
                this.token = message.parameterValue;
            }
        });
    }

    /** Connects to a proxy. @param options start-up options, such as `-c pomeloturn.token=new` */
    static async create(port: number, options: string): Promise<DemoCaller> {
        const client = new pg.Client({ host: "127.0.0.1", port, user: "editor", password: "secret", database: SAMPLE_SERVICE, options });
        const caller = new DemoCaller(client);
        client.on("error", () => {
            caller.isDisconnected = true;
        });
        client.on("end", () => {
            caller.isDisconnected = true;
        });
        await client.connect();
        return caller;
    }

    /** Runs a statement. @returns the first column of each row */
    async query(text: string, values: readonly string[] = []): Promise<string[]> {
        const result = await this.client.query<string[]>({ text, values: [...values], rowMode: "array" });
        return result.rows.map(row => row[0]!);
    }

    async write(key: string, value: string, comment = ""): Promise<void> {
        await this.query(`INSERT INTO entries (key, value) VALUES ($1, $2) ${comment}`, [key, value]);
    }

    async read(key: string, comment = ""): Promise<string | undefined> {
        const rows = await this.query(`SELECT value FROM entries WHERE key = $1 ${comment}`, [key]);
        return rows[0];
    }

    close(): Promise<void> {
        return this.client.end();
    }
}
