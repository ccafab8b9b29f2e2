import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findPorts, HOST, sleep } from "./ports.mjs";

const ROOT = join(import.meta.dirname, "..", "..");
/** The command of the role in deploy/system.toml. */
const COMMAND = ["node", "--max-old-space-size=160", "--max-semi-space-size=4", "target/entry.cjs"];
/** The platform starts a process that has ended after a short delay. */
const RESTART_DELAY_MS = 300;

/** Bounds of a small deployment, as in the settings of the site erata-cluj. */
export const BOUNDS = { contactMs: 5_000, drainMs: 7_000, graceS: 6, configApplyMs: 3_000, lossSlackMs: 200, heartbeatMs: 1_200 };

/** Fills in the template of the deploy file from the fields of the settings, as DEPLOY.md says: `{{a.b}}` and `{{a|json}}`. */
const renderSettings = fields => {
    const find = path => path.split(".").reduce((value, name) => value?.[name], fields);
    return readFileSync(join(ROOT, "deploy", "settings.json"), "utf8")
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => json === undefined ? String(find(path) ?? "") : JSON.stringify(find(path)));
};

/** One proxy process, which is started again when it ends, as on the users' platform. */
export class Vm {
    /** Ends of the process that nobody asked for, as [exit code, signal]. */
    ownEnds = [];
    #process;
    #isStopping = false;
    #restart;

    constructor(name, ports, folder, { storePort, ordersPort, graceS = BOUNDS.graceS, areFencesChecked }, record) {
        Object.assign(this, { name, callerPort: ports[0], readinessPort: ports[1], folder, graceS, record });
        this.settingsFile = join(folder, `${name}.json`);
        this.logFile = join(folder, `${name}.log`);
        this.fields = {
            node: name,
            ip: HOST,
            zone: "cluj-a",
            zones: { "cluj-a": "ro-nord", "buc-a": "ro-sud", "cluj-b": "ro-nord" },
            listen: { front: `${HOST}:${ports[0]}`, ready: `${HOST}:${ports[1]}` },
            port_range: [ports[2], ports[3]],
            heartbeat_ms: BOUNDS.heartbeatMs,
            bounds: { contact_ms: BOUNDS.contactMs, grace_s: graceS, require_fence: areFencesChecked },
            platform: { address: `${HOST}:${storePort}` },
            cloud_api: { address: `${HOST}:${ordersPort}` },
        };
    }

    start(isFirstStart = true) {
        writeFileSync(this.settingsFile, renderSettings({ ...this.fields, bootstrap: isFirstStart }));
        const log = openSync(this.logFile, "a");
        const { PATH, HOME = "/", LANG = "C" } = process.env;
        const child = spawn(COMMAND[0], COMMAND.slice(1), {
            cwd: ROOT,
            env: { PATH, HOME, LANG, POMELOTURN_BOOT: this.settingsFile },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.#process = child;
        this.record.add(`${this.name}: started, process ${child.pid}`);
        child.on("exit", (code, signal) => this.#handleExit(child, code, signal));
    }

    #handleExit(child, code, signal) {
        this.record.add(`${this.name}: process ${child.pid} ended, code ${code}, signal ${signal}`);
        if (this.#process !== child || this.#isStopping) {
            return;
        }
        this.record.say(`${this.name}: the process ended by itself, code ${code}, signal ${signal}`);
        this.ownEnds.push([code, signal]);
        this.#restart = setTimeout(() => this.start(false), RESTART_DELAY_MS);
    }

    /** Sends SIGTERM. Resolves when the process has ended; it is killed after the grace period. */
    async terminate() {
        this.#isStopping = true;
        const child = this.#process;
        const isEnded = () => child.exitCode !== null || child.signalCode !== null;
        this.record.add(`${this.name}: SIGTERM`);
        child.kill("SIGTERM");
        const killer = setTimeout(() => child.kill("SIGKILL"), this.graceS * 1_000);
        while (!isEnded()) {
            await sleep(10);
        }
        clearTimeout(killer);
    }

    kill() {
        this.#isStopping = true;
        clearTimeout(this.#restart);
        this.#process?.kill("SIGKILL");
    }

    /** @returns whether the readiness probe is answered with 200 */
    isReady() {
        return new Promise(resolve => {
            const call = get({ host: HOST, port: this.readinessPort, path: "/-/ready", timeout: 500 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            call.on("timeout", () => call.destroy());
            call.on("error", () => resolve(false));
        });
    }

    async waitUntilReady(limitMs) {
        const endsAtMs = performance.now() + limitMs;
        while (performance.now() < endsAtMs) {
            if (await this.isReady()) {
                return true;
            }
            await sleep(50);
        }
        return false;
    }
}

/** Creates proxies that use the stand-ins; nothing is started yet. @param storePort returns the port at which a VM reaches the store */
export const createFleet = async (names, storePort, settings, record) => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const ports = await findPorts(names.length * 4);
    const storePorts = await Promise.all(names.map(storePort));
    const vms = names.map((name, index) =>
        new Vm(name, ports.slice(index * 4, index * 4 + 4), folder, { ...settings, storePort: storePorts[index] }, record));
    return {
        vms,
        folder,
        stop: () => {
            vms.forEach(vm => vm.kill());
            rmSync(folder, { recursive: true, force: true });
        },
    };
};
