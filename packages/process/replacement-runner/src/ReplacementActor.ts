import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { LeaderView, ReplacementAction, ReplacementEvent } from "@pomeloturn/replace-primary/replacementMessages";
import { createReplacement, ReplacementPhase, type ReplacementState } from "@pomeloturn/replace-primary/ReplacementState";
import { stepReplacement } from "@pomeloturn/replace-primary/stepReplacement";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import type { Authority, AuthorityStore, InstanceProtocol, Promoter } from "@pomeloturn/types/Protocols";
import { type ActorSystemRef, dispatch, type Ref, spawnStateless } from "nact";
import { CommitHolders } from "./CommitHolders.ts";
import { probeInstance, resumeInstance, stepDownInstance, surveyInstance } from "./inspectInstance.ts";

/** Dependencies of `ReplacementActor`. */
export interface ReplacementOptions {
    readonly system: ActorSystemRef;
    readonly vm: string;
    readonly service: ServiceRuntime;
    readonly authorities: AuthorityStore;
    readonly promoter: Promoter;
    readonly protocol: InstanceProtocol;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Opens a connection to an instance outside its pool. */
    readonly openConnection: (instance: InstanceRuntime) => CommandChannel;
    /** Whether another instance answers at the address of an entry, so that its claim to be the primary does not count. */
    readonly isMisrouted: (instanceId: string) => boolean;
    /** Whether the platform refuses orders whose fence is lower than one that it has seen. */
    readonly areFencesChecked: boolean;
    /** Checks for suspensions of this VM, which its monotonic clock does not count, and returns their number. */
    readonly detectSuspensions: () => number;
    /** Number of replicas of the service that have to receive a commit before it is acknowledged. */
    readonly syncReplicas: () => number;
    /** Start of the last complete check of the listing, in monotonic milliseconds; undefined before the first one. See `ListingCheck`. */
    readonly verifiedFromMs: () => number | undefined;
    /** Index of this VM in the order in which VMs act on the service. */
    readonly vmIndex: () => number;
    /** Writes a log line. */
    readonly log: (text: string, details: Readonly<Record<string, unknown>>) => void;
}

type ActionHandlers = { readonly [Kind in ReplacementAction["kind"]]: (action: Extract<ReplacementAction, { kind: Kind; }>) => void; };

/** Executes the actions that `stepReplacement` decides on for one service. */
export class ReplacementActor {
    private readonly state: ReplacementState;
    private readonly reference: Ref<ReplacementEvent>;
    private readonly handlers: ActionHandlers;
    private readonly holders = CommitHolders.create();
    private suspensions: number;

    private constructor(private readonly options: ReplacementOptions) {
        const { system, vm } = options;
        this.suspensions = options.detectSuspensions();
        this.state = createReplacement(vm, options.nowMs(), options.areFencesChecked);
        // Without a name: the library refuses names with characters that the name of a service may have.
        this.reference = spawnStateless(system, (event: ReplacementEvent) => this.step(event));
        this.handlers = this.createHandlers();
    }

    static create(options: ReplacementOptions): ReplacementActor {
        return new ReplacementActor(options);
    }

    /** Whether the primary is suspected, missing or being replaced, so that ticks should be frequent. */
    get isActive(): boolean {
        return this.state.phase !== ReplacementPhase.Watching || this.state.suspicion !== undefined
            || this.state.leaderlessSinceMs !== undefined;
    }

    /** Whether a replica that had to receive commits may be alive although it is not listed. */
    get needsListingCheck(): boolean {
        const { service, verifiedFromMs } = this.options;
        return this.state.syncReplicas > 0 && (verifiedFromMs() === undefined || this.holders.listAbsent(service).length > 0);
    }

    tick(): void {
        const { service, verifiedFromMs, nowMs } = this.options;
        // Where no replica has to receive a commit, an instance that was removed does not count.
        const isSynchronous = this.state.syncReplicas > 0;
        this.holders.update(service, isSynchronous ? verifiedFromMs() ?? -Infinity : Infinity, nowMs());
        dispatch(this.reference, { kind: "tick", view: this.view() });
    }

    suspect(instanceId: string): void {
        dispatch(this.reference, { kind: "suspected", instanceId });
    }

    changeAuthority(authority: Authority): void {
        dispatch(this.reference, { kind: "authorityChanged", authority });
    }

    private step(event: ReplacementEvent): void {
        const suspensions = this.options.detectSuspensions();
        if (suspensions !== this.suspensions) {
            this.suspensions = suspensions;
            this.execute({ kind: "suspensionDetected" });
        }
        this.execute(event);
    }

    private execute(event: ReplacementEvent): void {
        for (const action of stepReplacement(this.state, event, this.options.nowMs())) {
            const handler = this.handlers[action.kind] as (action: ReplacementAction) => void;
            handler(action);
        }
    }

    private view(): LeaderView {
        const { service, vmIndex, syncReplicas, verifiedFromMs } = this.options;
        const { leader } = service;
        return {
            leaderId: leader?.entry.id,
            isLeaderDraining: leader?.entry.isDraining === true,
            instanceCount: service.instances.size,
            syncReplicas: syncReplicas(),
            isListingComplete: verifiedFromMs() !== undefined,
            vmIndex: vmIndex(),
        };
    }

    private createHandlers(): ActionHandlers {
        const { service, log } = this.options;
        return {
            probe: ({ instanceId }) => void this.probe(instanceId),
            claim: ({ known, fence }) => void this.claim(known, fence),
            survey: ({ pauseTerm }) => void this.survey(pauseTerm),
            resume: ({ instanceIds }) => instanceIds.forEach(id => void this.resume(id)),
            stepDown: ({ instanceId, term }) => void this.stepDown(instanceId, term),
            order: ({ instanceId, fence }) => void this.order(instanceId, fence),
            confirm: ({ instanceId, term }) => service.confirmLeader(instanceId, term),
            log: ({ text, details }) => log(text, { service: service.name, ...details }),
        };
    }

    private async probe(instanceId: string): Promise<void> {
        const instance = this.options.service.instances.get(instanceId);
        if (instance !== undefined) {
            const outcome = await probeInstance(this.options.openConnection(instance));
            dispatch(this.reference, { kind: "probed", instanceId, outcome });
        }
    }

    private async claim(known: Authority, fence: number): Promise<void> {
        const { authorities, service, vm, log } = this.options;
        try {
            const change = await authorities.claim(service.name, vm, fence, known);
            const isReplacing = change.isApplied && this.state.reason !== undefined;
            const isListingCurrent = isReplacing && await this.isListingCurrent();
            dispatch(this.reference, { kind: "claimed", change, isListingCurrent });
        }
        catch (error) {
            log("the authority store did not answer a claim", { service: service.name, reason: (error as Error).message });
            dispatch(this.reference, { kind: "claimed", change: undefined, isListingCurrent: false });
        }
    }

    /** Whether this VM knows each primary that is listed and, where replicas have to receive commits, each replica. */
    private async isListingCurrent(): Promise<boolean> {
        const { authorities, service, isMisrouted, log } = this.options;
        try {
            const { instances } = await authorities.readListing();
            const listed = instances.filter(instance => instance.service === service.name && !isMisrouted(instance.id));
            const isSynchronous = this.state.syncReplicas > 0;
            return listed.every(({ id, isPrimary }) =>
                isPrimary ? service.knownLeader.claims.has(id) : !isSynchronous || service.instances.has(id)
            );
        }
        catch (error) {
            log("the listing of the instances cannot be read after a claim", {
                service: service.name,
                reason: (error as Error).message,
            });
            return false;
        }
    }

    private async survey(pauseTerm: number | undefined): Promise<void> {
        const { service, protocol, nowMs } = this.options;
        const listed = [...service.instances.values()];
        const surveyed = await Promise.all(listed.map(instance => surveyInstance(instance, protocol, pauseTerm)));
        const instances = [
            ...surveyed.filter(({ id, state }) => state !== undefined || this.holders.mayHoldCommits(id, service, nowMs())),
            ...this.holders.listAbsent(service).map(id => ({ id, isDraining: true, state: undefined, isPaused: false })),
        ];
        dispatch(this.reference, { kind: "surveyed", instances });
    }

    private async resume(instanceId: string): Promise<void> {
        const { service, log } = this.options;
        const instance = service.instances.get(instanceId);
        const isConfirmed = instance !== undefined && await resumeInstance(instance);
        log("a replica that had stopped receiving is told to receive again", { service: service.name, instance: instanceId, isConfirmed });
    }

    private async stepDown(instanceId: string, term: number): Promise<void> {
        const { service } = this.options;
        const instance = service.instances.get(instanceId);
        if (instance !== undefined) {
            await stepDownInstance(instance, term);
            service.denyLeader(instanceId);
        }
        dispatch(this.reference, { kind: "steppedDown" });
    }

    private async order(instanceId: string, fence: number): Promise<void> {
        const { promoter, service, vm } = this.options;
        const outcome = await promoter.promote(service.name, instanceId, vm, fence);
        dispatch(this.reference, { kind: "ordered", outcome });
    }
}
