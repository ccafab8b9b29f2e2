import { type AllowanceEvent, AllowanceExchange } from "@pomeloturn/allowance-link/AllowanceExchange";
import type { AllowanceMember } from "@pomeloturn/allowance-link/AllowanceMember";
import type { TeamTable } from "@pomeloturn/types/Teams";
import type { VirtualClock } from "../../leases/support/VirtualClock.ts";

/** As in `Entry`. */
const TICK_MS = 200;
export const BOUNDS = { windowS: 5, overageShare: 0.1, slackOperations: 20 };
export const CONTACT_MS = 5_000;

/** What a simulated VM reports to the simulation. */
export interface SimulatedVmPorts {
    readonly clock: VirtualClock;
    readonly send: (from: string, to: string, text: string) => void;
    readonly onEvent: (event: AllowanceEvent, team: string) => void;
}

/** One VM with an exchange whose clock drifts, that can be killed, restarted, suspended and stopped. */
export class SimulatedVm {
    exchange: AllowanceExchange | undefined;
    /** Version of the list of VMs, and of the configuration, that the process has applied. */
    listVersion = 0;
    configVersion = 0;
    teams: TeamTable | undefined;
    /** Time until which the VM reads nothing from the store. */
    storeCutUntilMs = 0;
    /** Number of processes that the VM has started. */
    processCount = 0;
    private isSuspended = false;
    private readonly deferred: (() => void)[] = [];

    /** @param drift share by which the VM's clock is faster than true time */
    constructor(
        readonly name: string,
        readonly region: string,
        private readonly drift: number,
        private readonly ports: SimulatedVmPorts,
    ) {}

    get isUp(): boolean {
        return this.exchange !== undefined;
    }

    start(): void {
        const { clock } = this.ports;
        const bootedAtMs = clock.nowMs;
        this.listVersion = 0;
        this.configVersion = 0;
        this.teams = undefined;
        const number = ++this.processCount;
        this.exchange = AllowanceExchange.create({
            vm: this.name,
            region: this.region,
            bounds: BOUNDS,
            contactMs: CONTACT_MS,
            nowMs: () => (clock.nowMs - bootedAtMs) * (1 + this.drift),
            random: () => clock.random(),
            startTimer: (delayMs, onDue) => this.startTimer(delayMs, onDue),
            send: (address, text) => this.ports.send(this.name, address, text),
            onEvent: this.ports.onEvent,
        });
        this.scheduleTick(number);
    }

    kill(): void {
        this.exchange = undefined;
        this.isSuspended = false;
        this.deferred.length = 0;
    }

    /** Runs nothing for a time. What arrives is handled afterwards, in its order. */
    suspend(durationMs: number): void {
        if (this.isUp && !this.isSuspended) {
            this.isSuspended = true;
            const number = this.processCount;
            this.ports.clock.after(durationMs, () => {
                if (number === this.processCount && this.isUp) {
                    this.isSuspended = false;
                    this.deferred.splice(0).forEach(run => run());
                }
            });
        }
    }

    receive(text: string, from: string): void {
        this.run(exchange => exchange.receive(text, from));
    }

    applyList(members: readonly AllowanceMember[], version: number): void {
        this.run(exchange => {
            if (version > this.listVersion) {
                this.listVersion = version;
                exchange.setMembers(members);
            }
        });
    }

    applyTeams(teams: TeamTable, version: number): void {
        this.run(exchange => {
            if (version > this.configVersion) {
                this.configVersion = version;
                this.teams = teams;
                exchange.setTeams(teams);
            }
        });
    }

    /** Runs an action in the process; later if it is suspended, never if it ends before that. */
    run(action: (exchange: AllowanceExchange) => void): void {
        const { exchange } = this;
        if (exchange === undefined) {
            return;
        }
        if (this.isSuspended) {
            this.deferred.push(() => action(exchange));
        }
        else {
            action(exchange);
        }
    }

    private startTimer(delayMs: number, onDue: () => void): () => void {
        const number = this.processCount;
        let isCancelled = false;
        this.ports.clock.after(delayMs / (1 + this.drift), () => {
            if (!isCancelled && number === this.processCount) {
                this.run(() => isCancelled || onDue());
            }
        });
        return () => {
            isCancelled = true;
        };
    }

    private scheduleTick(number: number): void {
        this.ports.clock.after(TICK_MS, () => {
            if (number === this.processCount && this.isUp) {
                this.run(exchange => exchange.tick());
                this.scheduleTick(number);
            }
        });
    }
}
