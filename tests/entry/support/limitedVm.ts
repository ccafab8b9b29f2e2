import { existsSync, readdirSync, readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "vitest";
import { CallerCrowd, type CrowdCaller } from "./CallerCrowd.ts";
import { EntryDeployment } from "./EntryDeployment.ts";
import type { EntryProcess } from "./EntryProcess.ts";
import { waitForService } from "./waitForService.ts";

/** Limits of the process in these tests. They are lower than those of the smallest VM, so that a small crowd shows a fault. */
const HEAP_MB = 40;
const MEMORY_MB = 128;
const DESCRIPTOR_LIMIT = 600;

/** Bounds that the process must not exceed. Of its descriptors, 200 are reserved for files. */
const RESIDENT_LIMIT_KB = MEMORY_MB * 1_024;
const DESCRIPTOR_BOUND = DESCRIPTOR_LIMIT - 200;

const SAMPLE_INTERVAL_MS = 20;
/** Time in which one of many requests must be answered after the crowd has left. It is no measure of latency. */
const RECOVERY_LIMIT_MS = 30_000;

/** The options of Node.js in deploy/system.toml, with the smaller heap of these tests. */
const readNodeOptions = (): string[] =>
    /^run = "node (.*) target\//m.exec(readFileSync("deploy/system.toml", "utf8"))![1]!
        .replace(/--max-old-space-size=\d+/, `--max-old-space-size=${HEAP_MB}`)
        .split(" ");

const readPeakResidentKb = (pid: number): number => {
    const status = existsSync(`/proc/${pid}/status`) ? readFileSync(`/proc/${pid}/status`, "utf8") : "";
    return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? 0);
};

const countDescriptors = (pid: number): number => {
    try {
        return readdirSync(`/proc/${pid}/fd`).length;
    }
    catch {
        // The process has ended.
        return 0;
    }
};

/** Largest use of resources by a process, sampled until it is stopped. */
class ResourcePeaks {
    residentKb = 0;
    descriptors = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly vm: EntryProcess) {
        this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
    }

    sample(): void {
        const pid = this.vm.process.pid!;
        this.residentKb = Math.max(this.residentKb, readPeakResidentKb(pid));
        this.descriptors = Math.max(this.descriptors, countDescriptors(pid));
    }

    stop(): void {
        clearInterval(this.timer);
    }
}

/** What a crowd does, and for how long. */
export interface CrowdOptions {
    readonly callers: readonly CrowdCaller[];
    /** Time after which callers that have not sent everything stop. */
    readonly sendLimitMs: number;
    /** Time for which the connections stay open after that. */
    readonly holdMs?: number;
}

/**
 * Sends a crowd to a process with little memory, then checks that the process lives, stayed within its limits and answers an
 * ordinary request.
 */
export const expectToSurvive = async ({ callers, sendLimitMs, holdMs = 1_000 }: CrowdOptions): Promise<void> => {
    const deployment = await EntryDeployment.create();
    try {
        const limits = { memoryMb: MEMORY_MB, descriptorLimit: DESCRIPTOR_LIMIT };
        const vm = await deployment.startVm({ nodeOptions: readNodeOptions(), ...limits });
        await waitForService(vm.callerPort, "writes", RECOVERY_LIMIT_MS);
        const peaks = new ResourcePeaks(vm);
        const crowd = CallerCrowd.create(vm.callerPort);
        await crowd.send(callers, sendLimitMs);
        await delay(holdMs);
        crowd.close();
        peaks.sample();
        const recoveryMs = vm.hasExited ? Infinity : await waitForService(vm.callerPort, "writes", RECOVERY_LIMIT_MS);
        peaks.sample();
        peaks.stop();
        const { residentKb, descriptors } = peaks;
        const state = `signal ${vm.process.signalCode}, ${residentKb} kB resident, ${descriptors} descriptors`;
        if (process.env["CROWD_FIGURES"] !== undefined) {
            console.log(`${expect.getState().currentTestName}: ${state}`);
        }
        expect({
            state,
            isAlive: !vm.hasExited,
            isMemoryBounded: residentKb <= RESIDENT_LIMIT_KB,
            areDescriptorsBounded: descriptors <= DESCRIPTOR_BOUND,
            isServing: recoveryMs < RECOVERY_LIMIT_MS,
        }).toEqual({ state, isAlive: true, isMemoryBounded: true, areDescriptorsBounded: true, isServing: true });
    }
    finally {
        deployment.close();
    }
};
