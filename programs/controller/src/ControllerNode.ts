import { assignHolders, type Holders } from "@pomeloturn/assign-holders/assignHolders";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { buildVmViews, findLeavingBackends, shouldPoll } from "@pomeloturn/membership/buildVmViews";
import { Condition, type Member } from "@pomeloturn/membership/Member";
import { MembershipEventKind } from "@pomeloturn/membership/membershipMessages";
import { type ControlView, VmState, type VmView } from "@pomeloturn/types/ControlView";
import type { ControllerVm, LeaseService } from "@pomeloturn/types/Leadership";
import type { ObjectStore, TableService, VmList } from "@pomeloturn/types/Platform";
import type { ActorSystemRef } from "nact";
import { ActiveConfiguration } from "./ActiveConfiguration.ts";
import { buildView } from "./buildView.ts";
import type { ControlTransport } from "./ControlTransport.ts";
import { MembershipActor } from "./MembershipActor.ts";
import { ProxyLink } from "./ProxyLink.ts";
import { ReportedLeadership } from "./ReportedLeadership.ts";

type IControlMessage = pomeloturn.control.IControlMessage;
type MessageHandler = (from: string, message: IControlMessage) => void;

const CONFIGURATION_REQUEST_INTERVAL_MS = 1_000;
const JOIN_ADDRESS_LIMIT = 3;

/** Dependencies and callbacks of a node. */
export interface ControllerNodeOptions {
    readonly system: ActorSystemRef;
    readonly self: Member;
    /** "host:port" of controllers through which the node joins. */
    readonly seeds: readonly string[];
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
    readonly transport: ControlTransport;
    createLeases(node: ControllerNode): LeaseService;
    nowMs(): number;
    onConfigurationInvalid(objectName: string, error: Error): void;
    /** Called when the table service has lost the active configuration version. `isRewritten`: whether it has it again. */
    onConfigurationLost(version: number, storedVersion: number, isRewritten: boolean): void;
    /** Called when a newer controller process has started under this VM's name. */
    onSuperseded(): void;
}

/** The controller of one VM without sockets and timers. The owner calls `tick` once per second and `pushView` more often. */
export class ControllerNode {
    readonly proxy: ProxyLink;
    readonly members: MembershipActor;
    readonly activeConfiguration: ActiveConfiguration;
    readonly leases: LeaseService;
    vms: Readonly<Record<string, VmView>> = {};
    view: ControlView | undefined;
    /** Configuration version in the latest heartbeat of each neighbor, by VM. */
    readonly configVersions = new Map<string, number>();
    private readonly reportedLeadership = ReportedLeadership.create();
    private holders: Holders = {};
    private vmsJson = "";
    private controllersJson = "";
    private isPolling = false;
    private nextPeerIndex = 0;
    private configurationRequestedAtMs = -Infinity;
    private readonly handlers: readonly (readonly [key: keyof IControlMessage, handler: MessageHandler])[] = [
        ["lease", (from, { lease }) => this.leases.receive(from, lease?.payload ?? new Uint8Array(0))],
        ["configurationOffer", (from, { configurationOffer }) => this.receiveOffer(from, configurationOffer!)],
        [
            "leadershipRequest",
            from => this.options.transport.send(from, { leadership: this.reportedLeadership.buildReport(this.leases.leadership()) }),
        ],
        ["leadership", (_from, { leadership }) => this.reportedLeadership.recordReport(leadership!)],
        ["configurationRequest", from => this.options.transport.send(from, { configurationOffer: this.activeConfiguration.buildOffer() })],
    ];

    private constructor(private readonly options: ControllerNodeOptions) {
        this.proxy = ProxyLink.create(() => options.nowMs());
        const { system, self, transport, table, objects } = options;
        this.activeConfiguration = ActiveConfiguration.create({
            table,
            objects,
            onActivated: () => this.applyConfiguration(),
            onInvalid: (objectName, error) => options.onConfigurationInvalid(objectName, error),
            onLost: (...loss) => options.onConfigurationLost(...loss),
        });
        this.members = MembershipActor.create({
            system,
            self,
            transport,
            configurationVersion: () => this.activeConfiguration.version,
            nowMs: () => options.nowMs(),
            onChanged: () => this.refreshVms(),
            onSuperseded: () => options.onSuperseded(),
        });
        this.leases = options.createLeases(this);
        this.refreshVms();
    }

    static create(options: ControllerNodeOptions): ControllerNode {
        return new ControllerNode(options);
    }

    /** Handles a message from the controller of another VM. */
    receive(from: string, message: IControlMessage): void {
        const { heartbeat } = message;
        if (heartbeat) {
            this.configVersions.set(from, heartbeat.configurationVersion ?? 0);
        }
        if (heartbeat && (heartbeat.configurationVersion ?? 0) > this.activeConfiguration.version) {
            this.requestConfiguration(from);
        }
        if (!this.members.receive(from, message)) {
            this.handlers.find(([key]) => message[key])?.[1](from, message);
        }
    }

    /** Runs the periodic work. To be called at each heartbeat interval. */
    tick(): void {
        this.members.dispatch({ kind: MembershipEventKind.Tick });
        this.refreshVms();
        this.join();
        this.requestLeadership();
        void this.pollPlatform();
    }

    /** Builds a new view and sends the proxy its changes, including renewed lease expiry times. */
    pushView(): void {
        const { configuration, version } = this.activeConfiguration;
        if (configuration === undefined) {
            return;
        }
        this.view = buildView(this.view, {
            configVersion: version,
            configuration,
            vms: this.vms,
            holders: this.holders,
            leavingBackends: findLeavingBackends(this.members.state),
            leadership: this.reportedLeadership.mergeWithRows(this.leases.leadership()),
        });
        this.proxy.push(this.view);
    }

    /** Announces that this VM is leaving, so that no further instances are assigned to it. */
    leave(): void {
        this.members.dispatch({ kind: MembershipEventKind.Leave });
    }

    close(): void {
        this.leases.close();
    }

    private refreshVms(): void {
        const vms = buildVmViews(this.members.state, this.options.nowMs());
        const json = JSON.stringify(vms);
        const isChanged = json !== this.vmsJson;
        if (isChanged) {
            this.vmsJson = json;
            this.vms = vms;
        }
        this.refreshControllers();
        if (isChanged) {
            this.assignInstanceHolders();
        }
        else {
            this.pushView();
        }
    }

    private refreshControllers(): void {
        const controllers = this.listControllers();
        const json = JSON.stringify(controllers);
        if (json !== this.controllersJson) {
            this.controllersJson = json;
            this.leases.setVms(controllers);
        }
    }

    private assignInstanceHolders(): void {
        const { configuration } = this.activeConfiguration;
        if (configuration !== undefined) {
            this.holders = assignHolders(configuration, this.vms);
        }
        this.pushView();
    }

    private listControllers(): ControllerVm[] {
        const { self, members } = this.members.state;
        return [self, ...members.values()]
            .filter(({ condition }) => condition !== Condition.Gone)
            .map(({ vm, incarnation, failureDomain }) => ({
                vm,
                incarnation,
                failureDomain,
                isLeaving: this.vms[vm]?.state !== VmState.Live,
            }));
    }

    private applyConfiguration(): void {
        const { configuration, version } = this.activeConfiguration;
        const groups = Object.entries(configuration?.groups ?? {}).map(([group, { instances }]) => [
            group,
            Object.fromEntries(Object.entries(instances).map(([instance, { failureDomain }]) => [instance, failureDomain])),
        ]);
        this.leases.setGroups(Object.fromEntries(groups) as Record<string, Record<string, string>>);
        this.assignInstanceHolders();
        const { outgoing, incoming } = this.members.state.neighbors;
        for (const vm of new Set([...outgoing, ...incoming])) {
            this.options.transport.send(vm, { configurationOffer: { version } });
        }
    }

    private receiveOffer(from: string, offer: pomeloturn.control.IConfigurationOffer): void {
        const { version, objectName, body } = offer;
        if ((version ?? 0) > this.activeConfiguration.version && !body) {
            this.requestConfiguration(from);
            return;
        }
        this.activeConfiguration.activateIfNewer(version ?? 0, objectName ?? "", body ?? "");
    }

    private requestConfiguration(from: string): void {
        const nowMs = this.options.nowMs();
        if (nowMs - this.configurationRequestedAtMs >= CONFIGURATION_REQUEST_INTERVAL_MS) {
            this.configurationRequestedAtMs = nowMs;
            this.options.transport.send(from, { configurationRequest: {} });
        }
    }

    /** Reads the VM list and the configuration's head from the platform when this VM is due to poll. */
    private async pollPlatform(): Promise<void> {
        const { listing } = this.members.state;
        const ageMs = listing === undefined ? undefined : this.options.nowMs() - listing.listedAtMs;
        if (this.isPolling || !shouldPoll(this.members.state, ageMs)) {
            return;
        }
        this.isPolling = true;
        await Promise.allSettled([
            this.activeConfiguration.pollHead(),
            this.options.vmList.list().then(vms => this.members.dispatch({ kind: MembershipEventKind.Listed, vms })),
        ]);
        this.isPolling = false;
    }

    /** Asks a neighbor for the leadership of the groups while the row of a group could not be read; the neighbors take turns. */
    private requestLeadership(): void {
        const groups = Object.keys(this.activeConfiguration.configuration?.groups ?? {});
        const { outgoing } = this.members.state.neighbors;
        if (outgoing.length > 0 && this.reportedLeadership.hasUnreadGroup(groups, this.leases.leadership())) {
            this.options.transport.send(outgoing[this.nextPeerIndex++ % outgoing.length]!, { leadershipRequest: {} });
        }
    }

    /** Requests the members from seeds and listed VMs while no other VM is known to be alive. */
    private join(): void {
        const { self, members, listing } = this.members.state;
        if ([...members.values()].some(({ condition }) => condition !== Condition.Gone)) {
            return;
        }
        const ownAddress = `${self.host}:${self.controllerPort}`;
        const listed = [...(listing?.vms.values() ?? [])].map(({ host }) => `${host}:${self.controllerPort}`);
        const addresses = [...new Set([...this.options.seeds, ...listed])].filter(address => address !== ownAddress);
        for (let count = 0; count < Math.min(JOIN_ADDRESS_LIMIT, addresses.length); count++) {
            const address = addresses[this.nextPeerIndex++ % addresses.length]!;
            this.options.transport.sendToAddress(address, { membersRequest: { failureDomain: "" } });
        }
    }
}
