import { toHeartbeat, toListingChange, toMember } from "@pomeloturn/control-link/convertMembership";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { Member } from "@pomeloturn/membership/Member";
import {
    type MembershipAction,
    MembershipActionKind,
    type MembershipEvent,
    MembershipEventKind,
} from "@pomeloturn/membership/membershipMessages";
import { createMembership, type MembershipState } from "@pomeloturn/membership/MembershipState";
import { stepMembership } from "@pomeloturn/membership/stepMembership";
import { type ActorSystemRef, dispatch, type Ref, spawnStateless } from "nact";
import type { ControlTransport } from "./ControlTransport.ts";

type IControlMessage = pomeloturn.control.IControlMessage;
type ActionHandlers = { readonly [Kind in MembershipAction["kind"]]: (action: Extract<MembershipAction, { kind: Kind; }>) => void; };

/** Dependencies and callbacks of the actor. */
export interface MembershipActorOptions {
    readonly system: ActorSystemRef;
    readonly self: Member;
    readonly transport: ControlTransport;
    /** Version of the active configuration, sent with each heartbeat. */
    configurationVersion(): number;
    nowMs(): number;
    onChanged(): void;
    /** Called when a newer controller process has started under this VM's name. */
    onSuperseded(): void;
}

/** Runs the membership of one VM: executes the actions of `stepMembership` one event at a time. */
export class MembershipActor {
    readonly state: MembershipState;
    private readonly actor: Ref<MembershipEvent>;
    private readonly handlers: ActionHandlers;

    private constructor(private readonly options: MembershipActorOptions) {
        this.state = createMembership(options.self, options.nowMs());
        // Without a name: the library refuses names with characters that the name of a VM may have.
        this.actor = spawnStateless(options.system, (event: MembershipEvent) => this.step(event));
        this.handlers = this.createHandlers();
    }

    static create(options: MembershipActorOptions): MembershipActor {
        return new MembershipActor(options);
    }

    dispatch(event: MembershipEvent): void {
        dispatch(this.actor, event);
    }

    /** Handles a message from another controller. @returns false when it does not concern the membership */
    receive(from: string, message: IControlMessage): boolean {
        const event = toEvent(from, message);
        if (event !== undefined) {
            this.dispatch(event);
        }
        return event !== undefined;
    }

    private step(event: MembershipEvent): void {
        for (const action of stepMembership(this.state, event, this.options.nowMs())) {
            const handler = this.handlers[action.kind] as (action: MembershipAction) => void;
            handler(action);
        }
    }

    private createHandlers(): ActionHandlers {
        const { transport } = this.options;
        return {
            [MembershipActionKind.SendHeartbeat]: ({ vm, heartbeat: { listingAgeMs, digests, ...rest } }) =>
                transport.send(vm, {
                    heartbeat: {
                        ...rest,
                        digests: [...digests],
                        configurationVersion: this.options.configurationVersion(),
                        ...(listingAgeMs === undefined ? {} : { listingAgeMs }),
                    },
                }),
            [MembershipActionKind.SendMembers]: ({ vm, members }) => transport.send(vm, { members: { members: [...members] } }),
            [MembershipActionKind.RequestMembers]: ({ vm, failureDomain }) => transport.send(vm, { membersRequest: { failureDomain } }),
            [MembershipActionKind.SendListing]: ({ vm, change: { listed, removed, isComplete, ageMs } }) =>
                transport.send(vm, { vmListing: { listed: [...listed], removed: [...removed], isComplete, ageMs } }),
            [MembershipActionKind.RequestListing]: ({ vm }) => transport.send(vm, { listingRequest: {} }),
            [MembershipActionKind.Changed]: () => this.options.onChanged(),
            [MembershipActionKind.Superseded]: () => this.options.onSuperseded(),
        };
    }
}

const toEvent = (from: string, message: IControlMessage): MembershipEvent | undefined => {
    const { hello, heartbeat, members, membersRequest, vmListing, listingRequest } = message;
    if (heartbeat) {
        return { kind: MembershipEventKind.Heartbeat, from, heartbeat: toHeartbeat(heartbeat) };
    }
    if (members) {
        return { kind: MembershipEventKind.Members, from, members: (members.members ?? []).map(toMember) };
    }
    if (membersRequest) {
        return { kind: MembershipEventKind.MembersRequest, from, failureDomain: membersRequest.failureDomain ?? "" };
    }
    if (vmListing) {
        return { kind: MembershipEventKind.ListingChange, from, change: toListingChange(vmListing) };
    }
    if (listingRequest) {
        return { kind: MembershipEventKind.ListingRequest, from };
    }
    return hello?.self ? { kind: MembershipEventKind.Members, from, members: [toMember(hello.self)] } : undefined;
};
