import { createConfigurationRow } from "@pomeloturn/platform/support/configurationRow";
import { LineInstance } from "@pomeloturn/platform/support/LineInstance";
import { RandomCaller, type SentStatement } from "@pomeloturn/platform/support/RandomCaller";
import { CONFIGURATION_KEY, INSTANCE_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import { setTimeout as delay } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, it } from "vitest";
import { RestorableStore } from "../support/RestorableStore.ts";
import { EntryProcess } from "./support/EntryProcess.ts";

/** The environment variables SHUTDOWN_SEEDS and SHUTDOWN_SEED change the number of seeds and the first one. */
const SEED_COUNT = Number(process.env["SHUTDOWN_SEEDS"] ?? 2);
const FIRST_SEED = Number(process.env["SHUTDOWN_SEED"] ?? 1);

const SERVICE = "ledger";
const TIMEOUT_MS = 800;
const GRACE_S = 3;
const CALLER_COUNT = 30;
const VM_COUNT = 2;
/** Time within which a statement that was not passed on may be cut: it crosses the close of its session. */
const CROSSING_MS = 200;
/** Time after a SIGTERM in which the load balancer still sends callers to the VM. */
const ROTATION_MS = 1_000;

/** A process, and whether the load balancer sends callers to it. */
interface Vm {
    readonly entry: EntryProcess;
    isInRotation: boolean;
}

/** Sends SIGTERM, among settings that are reloaded, and kills the process after the grace period. @returns when the SIGTERM was sent */
const terminate = async (vm: Vm): Promise<number> => {
    const { entry } = vm;
    const terminatedAtMs = performance.now();
    entry.process.kill("SIGHUP");
    entry.process.kill("SIGTERM");
    entry.process.kill("SIGHUP");
    void delay(ROTATION_MS).then(() => vm.isInRotation = false);
    while (!entry.hasExited && performance.now() - terminatedAtMs < GRACE_S * 1_000) {
        await delay(10);
    }
    entry.process.kill("SIGKILL");
    return terminatedAtMs;
};

it.each(Array.from({ length: SEED_COUNT }, (_each, index) => FIRST_SEED + index))(
    "a process that is stopped under load cuts a statement that it has accepted (seed %i)",
    async seed => {
        const generator = xoroshiro128plus(seed);
        const random = (): number => uniformFloat64(generator);
        const store = await RestorableStore.start();
        const workMs = (): number => random() < 0.1 ? 100 * random() : 10 * random();
        const instances = [await LineInstance.start("a", SERVICE, true, workMs), await LineInstance.start("b", SERVICE, false, workMs)];
        ["a", "b"].forEach((id, index) => store.write(INSTANCE_TABLE, id, instances[index]!.entry));
        store.write(OPERATOR_TABLE, CONFIGURATION_KEY, createConfigurationRow(SERVICE, TIMEOUT_MS));
        const sent: SentStatement[] = [];
        const vms: Vm[] = [];
        const callers: RandomCaller[] = [];
        try {
            for (let index = 0; index < VM_COUNT; index++) {
                const entry = await EntryProcess.start({ vm: `vm-${index}`, storeAddress: store.address, shutdownGraceS: GRACE_S });
                vms.push({ entry, isInRotation: true });
            }
            const choosePort = (): number | undefined => {
                const inRotation = vms.filter(vm => vm.isInRotation);
                return inRotation[Math.floor(random() * inRotation.length)]?.entry.callerPort;
            };
            for (let index = 0; index < CALLER_COUNT; index++) {
                callers.push(RandomCaller.start(`c${index}`, random, choosePort, sent));
            }
            await delay(1_000 + 500 * random());
            const firstTerminatedAtMs = await terminate(vms[0]!);
            expect(vms[0]!.entry.process.exitCode).toBe(0);
            // The connections of the second VM go on until it is stopped too.
            await delay(300);
            await terminate(vms[1]!);
            expect(vms[1]!.entry.process.exitCode).toBe(0);
            const arrived = (id: string): boolean => instances.some(({ arrivedAtMs }) => arrivedAtMs.has(id));
            const cut = sent.filter(({ id, sentAtMs, brokenAtMs }) =>
                brokenAtMs !== undefined && (arrived(id) || brokenAtMs - sentAtMs > CROSSING_MS)
            );
            expect(cut.map(({ id, text, sentAtMs }) => `${id} ${text} ${Math.round(sentAtMs - firstTerminatedAtMs)}`)).toEqual([]);
            expect(sent.length).toBeGreaterThan(500);
        }
        finally {
            callers.forEach(caller => caller.stop());
            vms.forEach(({ entry }) => entry.kill());
            instances.forEach(instance => instance.close());
            store.close();
        }
    },
);
