import { AllowanceEvent, AllowanceExchange } from "@pomeloturn/allowance-link/AllowanceExchange";
import { AllowanceSocket } from "@pomeloturn/allowance-link/AllowanceSocket";
import type { Counters } from "@pomeloturn/logger/Counters";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import type { MemberRow } from "@pomeloturn/platform/decodeMember";
import { type AllowanceSettings, type PlatformSettings, splitAddress } from "@pomeloturn/platform/PlatformSettings";
import type { AllowanceDecision, TeamTable } from "@pomeloturn/types/Teams";

/** Limits the operations of teams to their allowances, together with the other VMs. Its datagrams use the relay's port. */
export class TeamAllowances {
    private readonly exchange: AllowanceExchange;
    private readonly socket: AllowanceSocket;

    private readonly recorders: Readonly<Record<AllowanceEvent, (team: string) => void>>;

    private constructor(settings: PlatformSettings, bounds: AllowanceSettings, counters: Counters, logger: ProcessLogger) {
        this.recorders = {
            [AllowanceEvent.Granted]: () => {
                counters.add("allowance_granted");
            },
            [AllowanceEvent.Refused]: team => {
                counters.add(`allowance_refused_${team}`);
            },
            [AllowanceEvent.Unanswered]: () => {
                counters.add("allowance_unanswered");
            },
            [AllowanceEvent.SeatGranted]: team => {
                counters.add(`allowance_seat_granted_${team}`);
            },
            [AllowanceEvent.SeatRefused]: team => {
                counters.add(`allowance_seat_refused_${team}`);
            },
        };
        this.exchange = AllowanceExchange.create({
            vm: settings.vm,
            region: settings.regions[settings.failureDomain] ?? "",
            bounds,
            contactMs: settings.contactMs,
            nowMs: () => performance.now(),
            random: Math.random,
            startTimer: (delayMs, onDue) => {
                const timer = setTimeout(onDue, delayMs);
                return () => clearTimeout(timer);
            },
            send: (address, text) => this.socket.send(address, text),
            onEvent: (event, team) => this.recorders[event](team),
        });
        const receive = (text: string, source: string): void => this.exchange.receive(text, source);
        this.socket = AllowanceSocket.create(splitAddress(settings.relayAddress), receive, logger);
    }

    /** @returns undefined where the settings state no bounds for allowances */
    static create(settings: PlatformSettings, counters: Counters, logger: ProcessLogger): TeamAllowances | undefined {
        const { allowance } = settings;
        return allowance === undefined ? undefined : new TeamAllowances(settings, allowance, counters, logger);
    }

    take(team: string): Promise<AllowanceDecision> {
        return this.exchange.take(team);
    }

    setTeams(teams: TeamTable | undefined): void {
        this.exchange.setTeams(teams);
    }

    setMembers(members: Iterable<MemberRow>, regions: Readonly<Record<string, string>>): void {
        this.exchange.setMembers(
            [...members].map(({ vm, version, failureDomain, relayAddress }) => ({
                vm,
                version,
                region: regions[failureDomain] ?? "",
                address: relayAddress,
            })),
        );
    }

    /** @returns whether former holders of this VM's seats have not answered yet, so that the next tick is due soon */
    tick(): boolean {
        this.exchange.tick();
        return this.exchange.isTakingOver;
    }

    /** Grants nothing more, because the process shuts down. */
    stop(): void {
        this.exchange.stop();
    }
}
