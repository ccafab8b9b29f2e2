import { createConfigurationRow } from "@pomeloturn/platform/support/configurationRow";
import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { CONFIGURATION_KEY, INSTANCE_TABLE, OPERATOR_TABLE } from "@pomeloturn/platform/tables";
import { setTimeout as delay } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, it } from "vitest";
import { LostDirection, type SilentLink } from "../support/SilentLink.ts";
import { EntryDeployment, SERVICE, TIMEOUT_MS } from "./support/EntryDeployment.ts";
import { waitForService } from "./support/waitForService.ts";

/** The environment variables SOAK_SEEDS and SOAK_SEED change the number of seeds and the first one, SOAK_FAULTS the number of faults. */
const SEED_COUNT = Number(process.env["SOAK_SEEDS"] ?? 2);
const FIRST_SEED = Number(process.env["SOAK_SEED"] ?? 1);
const FAULT_COUNT = Number(process.env["SOAK_FAULTS"] ?? 8);

const VM_COUNT = 3;
const CALLER_COUNT = 9;
const GRACE_S = 3;
/** Time until a process that was killed at the end of its grace period counts as hanging. */
const EXIT_MARGIN_MS = 300;
/** Time after the last fault within which every VM serves writes again. */
const RECOVERY_MS = 12_000;
/** Time after the store's return in which the entries of instances that are alive are back. */
const RETURN_MS = 1_900;
/** Time in which callers write, so that a replica that was behind receives all commits. */
const CATCH_UP_MS = 1_000;
/** Answers that promise that nothing of the request is kept. */
const NOT_KEPT = /^(?:BUSY|ABORTED|LAGGING|READONLY|MISROUTED|MAXCONN)\b/;

/** What has become of the writes, by id. */
interface WriteOutcomes {
    readonly acknowledged: Set<string>;
    readonly refused: Set<string>;
}

class Soak {
    readonly outcomes: WriteOutcomes = { acknowledged: new Set(), refused: new Set() };
    readonly log: string[] = [];
    readonly badExits: string[] = [];
    private readonly stopping = new Set<number>();
    private crashedCount = 0;
    /** Whether a replica lacks commits, so that the other two instances must not both be down. */
    private isReplicaBehind = false;
    private configurationVersion = 1;
    private isOver = false;

    constructor(
        private readonly deployment: EntryDeployment,
        private readonly instanceLinks: readonly SilentLink[],
        private readonly ordersLink: SilentLink,
        private readonly random: () => number,
    ) {}

    private get mayCrash(): boolean {
        return !this.isReplicaBehind || this.crashedCount === 0;
    }

    private choose<Value>(values: readonly Value[]): Value {
        return values[Math.floor(this.random() * values.length)]!;
    }

    private get lost(): LostDirection {
        return this.choose(Object.values(LostDirection));
    }

    /** Each fault resolves when it is over. */
    readonly faults: Readonly<Record<string, () => Promise<void>>> = {
        crashPrimary: async () => {
            const { primary } = this.deployment.group;
            if (primary !== undefined && this.mayCrash) {
                this.crashedCount++;
                primary.crash();
                await delay(1_500 + 2_000 * this.random());
                await primary.restart();
                this.crashedCount--;
            }
        },
        drainPrimary: async () => {
            const { primary } = this.deployment.group;
            primary?.drain();
            await delay(3_000);
            while (!this.mayCrash) {
                await delay(100);
            }
            if (primary !== undefined && !primary.isDown) {
                primary.crash();
                await primary.restart();
            }
        },
        silenceStore: () => this.silence(this.choose(this.deployment.storeLinks)),
        silenceAllStoreConnections: () => Promise.all(this.deployment.storeLinks.map(link => this.silence(link))).then(() => undefined),
        silenceInstance: () => this.silence(this.choose(this.instanceLinks)),
        silenceOrders: async () => {
            this.ordersLink.isCut = true;
            await delay(600);
            this.ordersLink.isCut = false;
        },
        storeDown: async () => {
            const { store } = this.deployment;
            store.isDown = true;
            store.resetConnections();
            await delay(500 + 2_000 * this.random());
            store.isDown = false;
        },
        expireListing: () => this.expireListing(),
        restartVm: () => this.restartVm(Math.floor(this.random() * VM_COUNT)),
        changeConfiguration: async () => {
            const options = { version: ++this.configurationVersion, databases: { added: SERVICE }, syncReplicas: 1 };
            this.deployment.store.write(OPERATOR_TABLE, CONFIGURATION_KEY, createConfigurationRow(SERVICE, TIMEOUT_MS, options));
            await delay(0);
        },
    };

    private async silence(link: SilentLink): Promise<void> {
        link.silence(this.lost);
        await delay(0);
    }

    /** The entries of all instances expire in an outage of the store, at whose end VMs may start. They return one after the other. */
    private async expireListing(): Promise<void> {
        const { store, group } = this.deployment;
        const replica = group.instances.find(({ isPrimary, isDraining }) => !isPrimary && !isDraining);
        const isBehind = this.crashedCount === 0 && !this.isReplicaBehind && replica !== undefined;
        if (isBehind) {
            this.isReplicaBehind = true;
            replica.isDeaf = true;
        }
        store.isDown = true;
        store.resetConnections();
        await delay(500 + 1_000 * this.random());
        const killed = this.deployment.vms.map((_vm, index) => index).filter(index => !this.stopping.has(index) && this.random() < 0.7);
        killed.forEach(index => {
            this.stopping.add(index);
            this.deployment.vms[index]!.kill();
        });
        await delay(500);
        group.instances.forEach(({ id }) => store.delete(INSTANCE_TABLE, id));
        store.isDown = false;
        const restarts = killed.map(index => this.deployment.restartVm(index).then(() => this.stopping.delete(index)));
        await Promise.all(group.instances.map(async instance => {
            await delay(RETURN_MS * this.random());
            instance.register();
        }));
        await Promise.all(restarts);
        if (isBehind) {
            replica.isDeaf = false;
            await delay(CATCH_UP_MS);
            this.isReplicaBehind = false;
        }
    }

    private async restartVm(index: number): Promise<void> {
        const vm = this.deployment.vms[index]!;
        if (this.stopping.has(index)) {
            return;
        }
        this.stopping.add(index);
        vm.process.kill("SIGHUP");
        vm.process.kill("SIGTERM");
        const endsAtMs = performance.now() + GRACE_S * 1_000 + EXIT_MARGIN_MS;
        while (!vm.hasExited && performance.now() < endsAtMs) {
            await delay(10);
        }
        if (vm.process.exitCode !== 0) {
            this.badExits.push(`vm-${index}: exit code ${vm.process.exitCode}, signal ${vm.process.signalCode}`);
        }
        vm.kill();
        await this.deployment.restartVm(index);
        this.stopping.delete(index);
    }

    /** Runs faults at random times, some at the same time as others. */
    async runFaults(count: number): Promise<void> {
        const running: Promise<void>[] = [];
        for (let index = 0; index < count; index++) {
            const name = this.choose(Object.keys(this.faults));
            this.log.push(name);
            running.push(this.faults[name]!());
            await delay(200 + 1_300 * this.random());
        }
        await Promise.all(running);
    }

    startCallers(): void {
        for (let index = 0; index < CALLER_COUNT; index++) {
            void this.runCaller(`c${index}`, index % 3);
        }
    }

    stopCallers(): void {
        this.isOver = true;
    }

    private async runCaller(name: string, behavior: number): Promise<void> {
        for (let count = 0; !this.isOver; count++) {
            const index = Math.floor(this.random() * VM_COUNT);
            const vm = this.deployment.vms[index];
            const caller = vm === undefined || this.stopping.has(index) ? undefined : await LineCaller.open(vm.callerPort, "writes");
            for (let number = 0; number < 20 && caller !== undefined && !caller.isClosed && !this.isOver; number++) {
                await (behavior === 0
                    ? this.runTransaction(caller, `${name}-${count}-${number}`)
                    : this.runWrite(caller, `${name}-${count}-${number}`));
                await delay(10 + 40 * this.random());
            }
            caller?.close();
            await delay(20);
        }
    }

    private async runWrite(caller: LineCaller, id: string): Promise<void> {
        this.record([id], await caller.run(id, "WRITE 1a4 x"));
    }

    private async runTransaction(caller: LineCaller, id: string): Promise<void> {
        const written: string[] = [];
        for (const text of ["BEGIN", "WRITE 1a4 x", "READ 1a4", "WRITE 1a4 y"]) {
            const statementId = `${id}-${written.length}${text.slice(0, 1)}`;
            const answer = await caller.run(statementId, text);
            if (text.startsWith("WRITE")) {
                written.push(statementId);
            }
            if (answer.kind !== "complete") {
                this.record(written, answer);
                await caller.run(`${id}-end`, "ROLLBACK");
                return;
            }
        }
        this.record(written, await caller.run(`${id}-commit`, "COMMIT"));
    }

    private record(ids: readonly string[], { kind, text }: { readonly kind: string; readonly text: string; }): void {
        const outcome = kind === "complete"
            ? this.outcomes.acknowledged
            : kind === "error" && NOT_KEPT.test(text)
            ? this.outcomes.refused
            : undefined;
        ids.forEach(id => outcome?.add(id));
    }
}

it.each(Array.from({ length: SEED_COUNT }, (_each, index) => FIRST_SEED + index))(
    "an acknowledged write is lost, a refused one is kept or one runs twice among overlapping faults (seed %i)",
    { timeout: 60_000 + 3_000 * FAULT_COUNT },
    async seed => {
        const generator = xoroshiro128plus(seed);
        const deployment = await EntryDeployment.create({ syncReplicas: 1 });
        try {
            const { group, orders } = deployment;
            const instanceLinks: SilentLink[] = [];
            for (const instance of group.instances) {
                const link = await deployment.openLink(instance.ownAddress);
                instance.register(link.address);
                instanceLinks.push(link);
            }
            const ordersLink = await deployment.openLink(orders.address);
            await Promise.all(
                Array.from({ length: VM_COUNT }, () => deployment.startVm({ ordersAddress: ordersLink.address, shutdownGraceS: GRACE_S })),
            );
            const soak = new Soak(deployment, instanceLinks, ordersLink, () => uniformFloat64(generator));
            soak.startCallers();
            await delay(1_000);
            await soak.runFaults(FAULT_COUNT);
            const recoveries = await Promise.all(
                deployment.vms.map(({ callerPort }) => waitForService(callerPort, "writes", 2 * RECOVERY_MS)),
            );
            soak.stopCallers();
            await delay(TIMEOUT_MS);
            const { acknowledged, refused } = soak.outcomes;
            const kept = group.primary?.log.flat() ?? [];
            const keptIds = new Set(kept);
            const faults = soak.log.join(" ");
            expect({ faults, lost: [...acknowledged].filter(id => !keptIds.has(id)) }).toEqual({ faults, lost: [] });
            expect({ faults, keptAlthoughRefused: [...refused].filter(id => keptIds.has(id)) }).toEqual({
                faults,
                keptAlthoughRefused: [],
            });
            expect({ faults, twice: kept.length - keptIds.size }).toEqual({ faults, twice: 0 });
            expect({ faults, exits: soak.badExits }).toEqual({ faults, exits: [] });
            expect(Math.max(...recoveries)).toBeLessThan(RECOVERY_MS);
            expect(acknowledged.size).toBeGreaterThan(100);
        }
        finally {
            deployment.close();
        }
    },
);
