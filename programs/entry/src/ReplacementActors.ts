import { computeOrder } from "@pomeloturn/membership/computeOrder";
import { createUnheldAuthority } from "@pomeloturn/replace-primary/createUnheldAuthority";
import { ListingCheck } from "@pomeloturn/replacement-runner/ListingCheck";
import { ReplacementActor, type ReplacementOptions } from "@pomeloturn/replacement-runner/ReplacementActor";
import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import type { Authority } from "@pomeloturn/types/Protocols";

/** Options that are the same for the replacement actors of all services. */
export type SharedReplacementOptions = Omit<ReplacementOptions, "service" | "vmIndex" | "syncReplicas" | "verifiedFromMs"> & {
    /** Number of replicas of a service that have to receive a commit before it is acknowledged. */
    readonly syncReplicas: (service: string) => number;
    /** Whether this VM knows an instance, be it in use or not. */
    readonly isKnown: (instanceId: string) => boolean;
    /** Called with an error that the actor of one service has thrown. */
    readonly onUnexpectedError: (error: Error) => void;
};

/** Creates and drives the replacement actor of each service. */
export class ReplacementActors {
    private readonly actors = new Map<string, ReplacementActor>();
    private readonly authorities = new Map<string, Authority>();
    private members: readonly string[] = [];
    private era = 0;
    private readonly listingCheck = ListingCheck.create();

    private constructor(private readonly options: SharedReplacementOptions) {}

    static create(options: SharedReplacementOptions): ReplacementActors {
        return new ReplacementActors(options);
    }

    /** Sets the registered VMs, among which the replacements of primaries are distributed. */
    setMembers(members: Iterable<string>): void {
        this.members = [...members];
    }

    setAuthority(service: string, authority: Authority): void {
        this.authorities.set(service, authority);
        this.actors.get(service)?.changeAuthority(authority);
    }

    /** Sets the era of the store. The authorities of earlier eras are void. */
    setEra(era: number): void {
        if (era <= this.era) {
            return;
        }
        this.era = era;
        this.authorities.clear();
        this.actors.forEach(actor => actor.changeAuthority(createUnheldAuthority(era)));
    }

    suspect(service: string, instanceId: string): void {
        this.actors.get(service)?.suspect(instanceId);
    }

    /** @returns whether a primary is suspected, missing or being replaced, so that the next tick should follow soon */
    tick(services: Iterable<ServiceRuntime>): boolean {
        let isActive = false;
        let needsListingCheck = false;
        for (const service of services) {
            try {
                const actor = this.findOrCreate(service);
                actor.tick();
                isActive ||= actor.isActive;
                needsListingCheck ||= actor.needsListingCheck;
            }
            catch (error) {
                // The other services are still watched.
                this.options.onUnexpectedError(error as Error);
            }
        }
        if (this.listingCheck.takeDueRead(needsListingCheck, this.options.nowMs())) {
            void this.checkListing();
        }
        return isActive;
    }

    /** Reads the listing at the store itself: a relay may not know yet what the store shows. */
    private async checkListing(): Promise<void> {
        const { authorities, isKnown, nowMs, detectSuspensions, log } = this.options;
        const sentAtMs = nowMs();
        try {
            const { era, instances } = await authorities.readListing();
            const suspensions = detectSuspensions();
            const isEachKnown = instances.every(({ id }) => isKnown(id));
            if (this.listingCheck.recordRead({ sentAtMs, answeredAtMs: nowMs(), era, suspensions, isKnown: isEachKnown })) {
                log("the listing of the instances is complete", { instances: instances.length });
            }
        }
        catch (error) {
            if (this.listingCheck.recordFailure(nowMs())) {
                log("the listing of the instances cannot be read; its check starts again", { reason: (error as Error).message });
            }
        }
    }

    private findOrCreate(service: ServiceRuntime): ReplacementActor {
        const known = this.actors.get(service.name);
        if (known !== undefined) {
            return known;
        }
        const { vm, syncReplicas } = this.options;
        const actor = ReplacementActor.create({
            ...this.options,
            service,
            vmIndex: () => computeOrder(this.members, vm, service.name),
            syncReplicas: () => syncReplicas(service.name),
            verifiedFromMs: () => this.listingCheck.verifiedFromMs,
        });
        this.actors.set(service.name, actor);
        actor.changeAuthority(this.authorities.get(service.name) ?? createUnheldAuthority(this.era));
        return actor;
    }
}
