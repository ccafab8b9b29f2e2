import { Proxy } from "@pomeloturn/proxy/Proxy";
import { Standin } from "@pomeloturn/standin/Standin";
import type { StandinSettings } from "@pomeloturn/standin/StandinSettings";
import type { ControlView, GroupView } from "@pomeloturn/types/ControlView";
import pg from "pg";
import { createSmallDeployment, type SmallDeployment } from "./smallDeployment.ts";

const NO_EXPIRY_MS = 1e15;
export const GROUP = "log-1";

/** A caller with the token that the proxy told it last. */
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

    /** The first column of the first row, or the command's tag and row count, or the error's code and detail. */
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

/** The small deployment inside the test's process, with a view that the test sets. */
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

    async connect(proxy: number, settings: Readonly<Record<string, string>> = {}): Promise<TestCaller> {
        const caller = await TestCaller.connect(this.deployment.proxies[proxy]!.callerPort, settings);
        this.callers.push(caller);
        return caller;
    }

    callerPort(proxy: number): number {
        return this.deployment.proxies[proxy]!.callerPort;
    }

    /** Sets the group's view at all proxies. */
    setGroup(changes: Partial<GroupView>): void {
        for (const proxy of this.proxies) {
            proxy.setView({ ...this.view, groups: { [GROUP]: { ...this.view.groups[GROUP]!, ...changes } } });
        }
    }

    /** Promotes a replica; the other one may follow it. The old primary goes on believing that it leads. */
    promote(instance: string, followers: readonly string[]): void {
        const promoted = this.standin.findInstance(GROUP, instance)!;
        const start = promoted.store.position;
        promoted.promote();
        for (const name of followers) {
            this.standin.findInstance(GROUP, name)!.upstream = instance;
        }
        this.setGroup({ term: 2, primary: instance, history: [{ term: 1, position: 0 }, { term: 2, position: start }] });
    }

    /** Waits until a replica has replayed all that another instance wrote. */
    async replayed(replica: string, upstream: string): Promise<void> {
        const [lower, upper] = [replica, upstream].map(name => this.standin.findInstance(GROUP, name)!);
        while (lower!.store.position < upper!.store.position) {
            await new Promise(resolve => setTimeout(resolve, 2));
        }
    }

    async close(): Promise<void> {
        await Promise.allSettled(this.callers.map(({ client }) => client.end()));
        this.proxies.forEach(proxy => proxy.close());
        this.standin.close();
    }
}
