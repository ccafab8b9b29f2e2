// Starts the project's entry program as the deploy file does: its `run` command, settings rendered from its template.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const ROOT = join(import.meta.dirname, "../..");
const GRACE_S = 6;

const findPort = () =>
    new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** @returns that many ports that were free together */
export const findPorts = async count => {
    const ports = new Set();
    while (ports.size < count) {
        ports.add(await findPort());
    }
    return [...ports];
};

/** The fields that DEPLOY.md names, with the figures of the site erata-cluj, on loopback addresses. */
const createFields = ({ vm, zone, ports, storePort, ordersPort, isFirstStart }) => ({
    node: vm,
    zone,
    ip: "127.0.0.1",
    zones: { "cluj-a": "ro-nord", "buc-a": "ro-sud", "cluj-b": "ro-nord" },
    listen: { front: `127.0.0.1:${ports[0]}`, ready: `127.0.0.1:${ports[1]}` },
    port_range: [ports[2], ports[3]],
    bootstrap: isFirstStart,
    limits: { memory_mb: 350, max_fds: 4_200 },
    heartbeat_ms: 1_200,
    bounds: { contact_ms: 5_000, grace_s: GRACE_S, require_fence: true },
    platform: { address: `127.0.0.1:${storePort}` },
    cloud_api: { address: `127.0.0.1:${ordersPort}` },
});

const lookUp = (fields, path) => path.split(".").reduce((value, name) => value?.[name], fields);

/** Renders the template as DEPLOY.md tells; a section of a value that is missing is left out. */
const render = (template, fields) =>
    template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, body) => lookUp(fields, path) === undefined ? "" : body)
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, isJson) => {
            const value = lookUp(fields, path);
            return isJson ? JSON.stringify(value ?? null) : String(value ?? "");
        });

export class Vm {
    restartCount = 0;
    /** Ends that nobody asked for: { atMs, code, signal }. */
    ends = [];
    log = [];
    #isStopping = false;
    #isRemoved = false;

    constructor(options) {
        this.options = options;
        this.folder = mkdtempSync(join(tmpdir(), "pomeloturn-review-"));
        this.file = join(this.folder, "settings.json");
    }

    static async create(vm, zone, storePort, ordersPort) {
        return new Vm({ vm, zone, storePort, ordersPort, ports: await findPorts(4) });
    }

    get port() {
        return this.options.ports[0];
    }

    get pid() {
        return this.child?.pid;
    }

    /** @param isRestarted whether the platform starts the process again when it ends by itself, 500 ms later */
    start(isFirstStart, isRestarted = false) {
        const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
        const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");
        writeFileSync(this.file, render(template, createFields({ ...this.options, isFirstStart })));
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, words, { cwd: ROOT, env: { PATH, HOME, LANG, POMELOTURN_BOOT: this.file }, stdio: ["ignore", "pipe", "pipe"] });
        this.child = child;
        this.#isStopping = false;
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", chunk => this.log.push(chunk.toString()));
        }
        child.on("exit", (code, signal) => {
            if (!this.#isStopping) {
                this.ends.push({ atMs: performance.now(), code, signal });
                if (isRestarted) {
                    this.restartCount++;
                    setTimeout(() => this.#isRemoved || this.start(false, true), 500);
                }
            }
        });
    }

    async isReady() {
        try {
            return (await fetch(`http://127.0.0.1:${this.options.ports[1]}/-/ready`, { signal: AbortSignal.timeout(500) })).status === 200;
        }
        catch {
            return false;
        }
    }

    async waitUntilReady(limitMs = 15_000) {
        const endsAtMs = performance.now() + limitMs;
        while (performance.now() < endsAtMs) {
            if (await this.isReady()) {
                return true;
            }
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        return false;
    }

    signal(name) {
        this.child.kill(name);
    }

    /** Ends the process as a loss of power does. `start` starts it again. */
    async kill() {
        this.#isStopping = true;
        const { child } = this;
        const ended = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGKILL");
        await ended;
    }

    /** Ends the process and removes its folder. */
    async stop() {
        this.#isStopping = true;
        this.#isRemoved = true;
        const { child } = this;
        if (child !== undefined && child.exitCode === null && child.signalCode === null) {
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGKILL");
            await ended;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** The operator's configuration of one service, as the site erata-cluj has it. */
export const createConfig = (service, { maxConns = 16, syncReplicas = 0, timeoutMs = 1_500, version = 7 } = {}) => ({
    version,
    routes: [
        { name: "r-1", host: "notices", prefix: "/", type: "primary", timeout_ms: timeoutMs, target_latency_ms: 400, priority: 0, service },
        {
            name: "r-2",
            host: "history",
            prefix: "/",
            type: "bounded_staleness",
            timeout_ms: timeoutMs,
            target_latency_ms: 600,
            priority: 1,
            service,
            max_staleness_ms: 1_500,
        },
        {
            name: "r-3",
            host: "partners",
            prefix: "/",
            type: "read_your_writes",
            timeout_ms: timeoutMs,
            target_latency_ms: 1_500,
            priority: 2,
            service,
            max_staleness_ms: 2_500,
        },
    ],
    services: [{ name: service, health_path: "/health", max_conns: maxConns, protocol: "h1", tls: false, sync_replicas: syncReplicas }],
    limits: { tx_idle_ms: 3_000 },
});
