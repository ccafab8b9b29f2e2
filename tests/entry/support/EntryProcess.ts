import { createSettingsEnvironment } from "@pomeloturn/platform/tables";
import { findPorts } from "@pomeloturn/standin/findPorts";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";

const HOST = "127.0.0.1";
const READY_POLL_MS = 50;
/** Interval of the instances' reports in the settings. */
export const REPORT_INTERVAL_MS = 1_200;

/** Settings of a process that differ between tests; see `PlatformSettings`. */
export interface EntryProcessOptions {
    readonly vm: string;
    readonly storeAddress: string;
    readonly ordersAddress?: string;
    readonly contactMs?: number;
    readonly shutdownGraceS?: number;
    readonly areFencesChecked?: boolean;
    readonly isFirstStart?: boolean;
    /** Bounds of the teams' allowances. Without them operations are not limited. */
    readonly allowance?: { readonly windowS: number; readonly overageShare: number; readonly slackOperations: number; };
    /** Whether the log is kept in `EntryProcess.log`. */
    readonly isLogKept?: boolean;
    /** Memory of the process's machine, in MB. */
    readonly memoryMb?: number;
    /** Open descriptors that the process may have. */
    readonly descriptorLimit?: number;
    /** Options of Node.js; by default none. */
    readonly nodeOptions?: readonly string[];
}

const isReady = (port: number): Promise<boolean> =>
    fetch(`http://${HOST}:${port}/-/ready`).then(({ status }) => status === 200).catch(() => false);

/** The built program of the platform's entry in a process of its own, as deploy/system.toml runs it. */
export class EntryProcess {
    /** What the process has logged, if its log is kept. */
    log = "";

    private constructor(
        readonly vm: string,
        readonly callerPort: number,
        readonly relayAddress: string,
        readonly metricsAddress: string,
        readonly process: ChildProcess,
        private readonly readinessPort: number,
        private readonly folder: string,
    ) {}

    static async spawn(
        { vm, storeAddress, ordersAddress = `${HOST}:9`, contactMs = 5_000, shutdownGraceS = 3, ...flags }: EntryProcessOptions,
    ): Promise<EntryProcess> {
        const { areFencesChecked = true, isFirstStart = false, allowance, isLogKept = false } = flags;
        const { nodeOptions = [], memoryMb, descriptorLimit } = flags;
        const ports = await findPorts(4);
        const [callerAddress, readinessAddress, metricsAddress, relayAddress] = ports.map(port => `${HOST}:${port}`);
        const folder = mkdtempSync(join(tmpdir(), "entry-"));
        const file = join(folder, `${vm}.json`);
        const settings = {
            ...{ vm, failureDomain: "north-a", regions: { "north-a": "north" }, storeAddress, ordersAddress },
            ...{ callerAddress, readinessAddress, metricsAddress, relayAddress },
            ...{ shutdownGraceS, contactMs, reportIntervalMs: REPORT_INTERVAL_MS, isFirstStart, areFencesChecked, allowance },
            ...{ memoryMb, descriptorLimit },
        };
        writeFileSync(file, JSON.stringify(settings));
        const env = { PATH: process.env["PATH"], ...createSettingsEnvironment(file) };
        const child = spawn(process.execPath, [...nodeOptions, "target/entry.cjs"], {
            env,
            stdio: ["ignore", isLogKept ? "pipe" : logTarget(), "inherit"],
        });
        const entry = new EntryProcess(vm, ports[0]!, relayAddress!, metricsAddress!, child, ports[1]!, folder);
        child.stdout?.on("data", (chunk: Buffer) => entry.log += chunk.toString());
        return entry;
    }

    /** Starts a process and waits until it is ready. */
    static async start(options: EntryProcessOptions): Promise<EntryProcess> {
        const entry = await EntryProcess.spawn(options);
        await entry.waitUntilReady();
        return entry;
    }

    async waitUntilReady(): Promise<void> {
        while (!await isReady(this.readinessPort)) {
            await delay(READY_POLL_MS);
        }
    }

    get hasExited(): boolean {
        return this.process.exitCode !== null || this.process.signalCode !== null;
    }

    kill(): void {
        this.process.kill("SIGKILL");
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** The logs of the processes are shown when the environment variable ENTRY_LOGS is set. */
const logTarget = (): "inherit" | "ignore" => process.env["ENTRY_LOGS"] === undefined ? "ignore" : "inherit";
