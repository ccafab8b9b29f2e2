import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
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

/** One proxy process, which is started again when it ends, as on the users' platform. */
export class Vm {
    /** Ends of the process that nobody asked for, as [exit code, signal]. */
    ownEnds = [];
    #process;
    #isStopping = false;
    #restart;

    constructor(name, ports, folder, settings, record) {
        Object.assign(this, { name, callerPort: ports[0], readinessPort: ports[1], folder, record });
        this.settingsFile = join(folder, `${name}.json`);
        this.logFile = join(folder, `${name}.log`);
        this.settings = {
            vm: name,
            failureDomain: "cluj-a",
            regions: { "cluj-a": "ro-nord", "buc-a": "ro-sud", "cluj-b": "ro-nord" },
            callerAddress: `${HOST}:${ports[0]}`,
            readinessAddress: `${HOST}:${ports[1]}`,
            metricsAddress: `${HOST}:${ports[2]}`,
            relayAddress: `${HOST}:${ports[3]}`,
            shutdownGraceMs: BOUNDS.graceS * 1_000,
            contactMs: BOUNDS.contactMs,
            reportIntervalMs: BOUNDS.heartbeatMs,
            areFencesChecked: true,
            ...settings,
        };
    }

    start(isFirstStart = true) {
        writeFileSync(this.settingsFile, JSON.stringify({ ...this.settings, isFirstStart }, undefined, 4));
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
        const killer = setTimeout(() => child.kill("SIGKILL"), BOUNDS.graceS * 1_000);
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

/** Creates proxies that use the stand-ins; nothing is started yet. */
export const createFleet = async (names, storePort, ordersPort, record) => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const ports = await findPorts(names.length * 4);
    const settings = { storeAddress: `${HOST}:${storePort}`, ordersAddress: `${HOST}:${ordersPort}` };
    const vms = names.map((name, index) => new Vm(name, ports.slice(index * 4, index * 4 + 4), folder, settings, record));
    return {
        vms,
        folder,
        stop: () => {
            vms.forEach(vm => vm.kill());
            rmSync(folder, { recursive: true, force: true });
        },
    };
};
