import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createConnection } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const START_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** A program of ours as a process of its own, started by a test. */
export class ProgramProcess {
    private constructor(private readonly child: ChildProcess) {}

    /** Starts a program and waits until it listens on `port`. */
    static async create(program: string, settings: object, port: number): Promise<ProgramProcess> {
        const file = join(mkdtempSync(join(tmpdir(), "pomeloturn-")), `${program}.json`);
        writeFileSync(file, JSON.stringify(settings));
        const child = spawn(process.execPath, [`dist/${program}.cjs`, "--settings", file], { stdio: ["ignore", "ignore", "inherit"] });
        const started = new ProgramProcess(child);
        await waitForPort(port);
        return started;
    }

    get pid(): number {
        return this.child.pid!;
    }

    signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Waits until the process has ended by itself. */
    exit(): Promise<number | null> {
        return this.child.exitCode === null
            ? new Promise(resolve => this.child.once("exit", resolve))
            : Promise.resolve(this.child.exitCode);
    }

    /** Ends the process and waits for it. */
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
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (!(await canConnect(port))) {
        if (performance.now() > deadline) {
            throw new Error(`nothing listens on port ${port}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
};
