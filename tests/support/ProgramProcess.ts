import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createConnection } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const START_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** Child process that runs a built program of this repository. */
export class ProgramProcess {
    private constructor(private readonly child: ChildProcess) {}

    /** Starts `dist/<program>.cjs` and waits until it listens on `port`. @throws after `START_TIMEOUT_MS` */
    static async create(program: string, settings: object, port: number): Promise<ProgramProcess> {
        const file = join(mkdtempSync(join(tmpdir(), "pomeloturn-")), `${program}.json`);
        writeFileSync(file, JSON.stringify(settings));
        const child = spawn(process.execPath, [`dist/${program}.cjs`, "--settings", file], { stdio: ["ignore", "ignore", "inherit"] });
        const programProcess = new ProgramProcess(child);
        await waitForPort(port);
        return programProcess;
    }

    get pid(): number {
        return this.child.pid!;
    }

    signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Waits until the process has exited by itself and returns its exit code; `null` if a signal ended it. */
    waitForExit(): Promise<number | null> {
        return this.child.exitCode === null
            ? new Promise(resolve => this.child.once("exit", resolve))
            : Promise.resolve(this.child.exitCode);
    }

    /** Sends a signal and waits until the process has exited. Returns its exit code; `null` if a signal ended it. */
    async kill(name: NodeJS.Signals = "SIGKILL"): Promise<number | null> {
        if (this.child.exitCode !== null || this.child.signalCode !== null) {
            return this.child.exitCode;
        }
        const exited = new Promise<number | null>(resolve => this.child.once("exit", resolve));
        this.child.kill(name);
        return exited;
    }
}

const canConnect = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const socket = createConnection({ host: "127.0.0.1", port });
        socket.once("connect", () => {
            socket.destroy();
            resolve(true);
        });
        socket.once("error", () => resolve(false));
    });

const waitForPort = async (port: number): Promise<void> => {
    const deadlineMs = performance.now() + START_TIMEOUT_MS;
    while (!(await canConnect(port))) {
        if (performance.now() > deadlineMs) {
            throw new Error(`no process listens on port ${port} after ${START_TIMEOUT_MS} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
};
