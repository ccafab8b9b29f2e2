import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { computeOrder } from "@pomeloturn/membership/computeOrder";
import { encodeMember, type MemberRow } from "@pomeloturn/platform/decodeMember";
import type { StoreClient } from "@pomeloturn/platform/StoreClient";
import { COORDINATION_TABLE, memberKey } from "@pomeloturn/platform/tables";
import { isSamePoint } from "@pomeloturn/store-point/isSamePoint";
import type { StorePoint } from "@pomeloturn/types/StoreRow";
import type { MemberListing, Registration as RegistrationRow } from "@pomeloturn/vm-registration/MemberListing";
import { createRegistration } from "@pomeloturn/vm-registration/RegistrationState";
import { RegistrationAction, type RegistrationEvent, stepRegistration } from "@pomeloturn/vm-registration/stepRegistration";

const RETRY_DELAY_MS = 1_000;
/** Delay of each VM relative to the preceding one in the order in which VMs repeat a lost deletion. */
const DELETION_STAGGER_MS = 1_000;

/** Identity of this VM in its registration. */
export type RegisteredVm = Omit<MemberRow, "version">;

/** Keeps the registration of this VM in the store, and deletes registrations of VMs that have left when a restored store brings them back. */
export class Registration {
    private readonly state = createRegistration();
    /** Rows whose deletion this VM repeats or has repeated, by VM: the version of the row, in the era in which it was read. */
    private readonly repeatedDeletions = new Map<string, StorePoint>();

    private constructor(private readonly vm: RegisteredVm, private readonly store: StoreClient, private readonly logger: ProcessLogger) {}

    static create(vm: RegisteredVm, store: StoreClient, logger: ProcessLogger): Registration {
        return new Registration(vm, store, logger);
    }

    start(): void {
        this.step({ kind: "started" });
    }

    /** Deletes the registration of this VM. */
    shutDown(): void {
        this.step({ kind: "shuttingDown" });
    }

    /** Compares the registrations in the store with what is wanted. @param point point up to which the listing was read */
    applyListing(listing: MemberListing<MemberRow>, point: StorePoint): void {
        const { vm, failureDomain, relayAddress } = this.vm;
        const own = listing.members.get(vm);
        const isRegistered = own !== undefined && !listing.unlisted.has(vm) && own.failureDomain === failureDomain
            && own.relayAddress === relayAddress;
        this.step({ kind: "read", isRegistered, point });
        for (const lost of listing.lostDeletions.values()) {
            const row = { era: point.era, version: lost.version };
            const repeated = this.repeatedDeletions.get(lost.vm);
            if (repeated === undefined || !isSamePoint(repeated, row)) {
                this.repeatedDeletions.set(lost.vm, row);
                const delayMs = computeOrder(listing.members.keys(), vm, lost.vm) * DELETION_STAGGER_MS;
                setTimeout(() => void this.repeatDeletion(listing, lost), delayMs).unref();
            }
        }
    }

    private step(event: RegistrationEvent): void {
        const action = stepRegistration(this.state, event);
        if (action !== undefined) {
            void this.change(action);
        }
    }

    private async change(action: RegistrationAction): Promise<void> {
        const { store, vm, logger } = this;
        const key = memberKey(vm.vm);
        try {
            const { era, version } = await (action === RegistrationAction.Register
                ? store.writeRow(COORDINATION_TABLE, { key, expectedVersion: undefined, value: encodeMember(vm) })
                : store.deleteRow(COORDINATION_TABLE, key));
            logger.info("the registration of this VM was changed in the store", { action, era, version });
            this.step({ kind: "changed", isRegistered: action === RegistrationAction.Register, point: { era, version } });
        }
        catch (error) {
            const reason = (error as Error).message;
            logger.warn(`the registration of this VM could not be changed; the next attempt follows in ${RETRY_DELAY_MS} ms`, {
                action,
                reason,
            });
            setTimeout(() => this.step({ kind: "retryDue" }), RETRY_DELAY_MS).unref();
        }
    }

    private async repeatDeletion({ lostDeletions }: MemberListing<MemberRow>, { vm, version }: RegistrationRow): Promise<void> {
        if (lostDeletions.get(vm)?.version !== version) {
            return;
        }
        try {
            const { isApplied } = await this.store.deleteRow(COORDINATION_TABLE, memberKey(vm), version);
            this.logger.info("the registration of a VM that has left is deleted again from the restored store", { vm, isApplied });
        }
        catch (error) {
            this.logger.warn("the registration of a VM that has left could not be deleted from the restored store", {
                vm,
                reason: (error as Error).message,
            });
        }
    }
}
