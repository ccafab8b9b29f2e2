import { Proxy } from "@pomeloturn/proxy/Proxy";
import { Standin } from "@pomeloturn/standin/Standin";
import type { StandinSettings } from "@pomeloturn/standin/StandinSettings";
import type { ControlView, GroupView } from "@pomeloturn/types/ControlView";
import pg from "pg";
import { createSmallDeployment, type SmallDeployment } from "./smallDeployment.ts";

const NO_EXPIRY_MS = 1e15;
export const GROUP = "log-1";

/** Database client that keeps the session token last reported by the proxy. */
export class TestCaller {
    token: string | undefined;

    private constructor(readonly client: pg.Client) {
        client.on("error", () => undefined);
        const connection = (client as unknown as { connection: NodeJS.EventEmitter; }).connection;
        connection.on("parameterStatus", (message: { parameterName: string; parameterValue: string; }) => {
            this.token = message.parameterName === "pomeloturn.token" ? message.parameterValue : this.token;
        });
    }

    static async connect(port: number, settings: Readonly<Record<string, string>>): Promise<TestCaller> {
        const options = Object.entries(settings).map(([name, value]) => `-c pomeloturn.${name}=${value}`).join(" ");
        const caller = new TestCaller(
            new pg.Client({ host: "127.0.0.1", port, user: "editor", password: "secret", database: "log-core", options }),
        );
        await caller.client.connect();
        return caller;
    }

    /** Runs a statement and returns the first column of the first row, else the command tag and row count, else the SQLSTATE and detail of the error. */
    async run(text: string, values?: string[]): Promise<string> {
        try {
            const { rows, command, rowCount } = await this.client.query<Record<string, string>>(text, values);
            return rows[0] === undefined ? `${command} ${rowCount ?? 0}` : Object.values(rows[0])[0]!;
        }
        catch (error) {
            const { code = "", detail = "" } = error as { code?: string; detail?: string; };
            return `${code} ${detail}`;
        }
    }
}

/** Runs the small deployment inside the process of the test; the test sets the view of the proxies. */
export class EmbeddedDeployment {
    private readonly callers: TestCaller[] = [];

    private constructor(readonly standin: Standin, readonly proxies: readonly Proxy[], private readonly deployment: SmallDeployment) {}

    static async create(proxyCount = 2): Promise<EmbeddedDeployment> {
        const deployment = await createSmallDeployment(proxyCount, { expiresAtMs: NO_EXPIRY_MS });
        const settings = deployment.standin as unknown as StandinSettings;
        const standin = await Standin.create(settings, () => performance.now());
        const proxies: Proxy[] = [];
        for (const address of deployment.proxies) {
            proxies.push(await Proxy.create({ ...address, callerLimit: 100, view: deployment.view }));
        }
        return new EmbeddedDeployment(standin, proxies, deployment);
    }

    get view(): ControlView {
        return this.deployment.view;
    }

    async connect(proxyIndex: number, settings: Readonly<Record<string, string>> = {}): Promise<TestCaller> {
        const caller = await TestCaller.connect(this.deployment.proxies[proxyIndex]!.callerPort, settings);
        this.callers.push(caller);
        return caller;
    }

    callerPort(proxyIndex: number): number {
        return this.deployment.proxies[proxyIndex]!.callerPort;
    }

    /** Changes the view of the group at all proxies. */
    updateGroupView(changes: Partial<GroupView>): void {
        for (const proxy of this.proxies) {
            proxy.setView({ ...this.view, groups: { [GROUP]: { ...this.view.groups[GROUP]!, ...changes } } });
        }
    }

    /** Promotes a replica and makes `followers` replicate from it. The old primary is not told and still accepts writes. */
    promote(instance: string, followers: readonly string[]): void {
        const promoted = this.standin.findInstance(GROUP, instance)!;
        const startPosition = promoted.store.position;
        promoted.promote();
        for (const name of followers) {
            this.standin.findInstance(GROUP, name)!.upstream = instance;
        }
        this.updateGroupView({ term: 2, primary: instance, history: [{ term: 1, position: 0 }, { term: 2, position: startPosition }] });
    }

    /** Waits until a replica has reached the current position of `upstream`. */
    async waitForReplay(replica: string, upstream: string): Promise<void> {
        const [replicaInstance, upstreamInstance] = [replica, upstream].map(name => this.standin.findInstance(GROUP, name)!);
        while (replicaInstance!.store.position < upstreamInstance!.store.position) {
            await new Promise(resolve => setTimeout(resolve, 2));
        }
    }

    async close(): Promise<void> {
        await Promise.allSettled(this.callers.map(({ client }) => client.end()));
        this.proxies.forEach(proxy => proxy.close());
        this.standin.close();
    }
}
