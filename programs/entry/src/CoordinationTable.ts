import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { decodeMember, type MemberRow } from "@pomeloturn/platform/decodeMember";
import { decodeAuthority } from "@pomeloturn/platform/PlatformAuthorityStore";
import { COORDINATION_TABLE, parseAuthorityKey } from "@pomeloturn/platform/tables";
import { isRestoredSince } from "@pomeloturn/store-point/isRestoredSince";
import type { Authority } from "@pomeloturn/types/Protocols";
import type { StorePoint, StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { createMemberListing, type MemberListing, recordDeleted, recordRegistered } from "@pomeloturn/vm-registration/MemberListing";
import { replaceMembers } from "@pomeloturn/vm-registration/replaceMembers";
import { isMemberSettlingDue, settleMembers } from "@pomeloturn/vm-registration/settleMembers";

/** Delay before the table of a restored store is read again when it could not be read, or when more VMs are due. */
const SETTLING_RETRY_DELAY_MS = 1_000;
/** Time in which a VM that has found the store restored has its registration written again, with one attempt that fails. */
const REGISTRATION_MARGIN_MS = 2_000;

const decodeMembers = (rows: readonly StoreRow[]): MemberRow[] => rows.map(decodeMember).filter(member => member !== undefined);

/** Dependencies and callbacks of `CoordinationTable`. */
export interface CoordinationTableOptions {
    /** Reads the store itself. A relay may have been cut off from it since its last read. */
    readonly store: Pick<TableReader, "readTable">;
    readonly logger: ProcessLogger;
    /** Longest wait of one feed call. It bounds the time until a dead connection is detected, be it the only one that is dead. */
    readonly feedWaitMs: number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Called with the registered VMs after each change of the table, up to a point. */
    readonly onMembersChanged: (listing: MemberListing<MemberRow>, point: StorePoint) => void;
    /** Called with the era of the store before its authorities of that era. */
    readonly onEraRead: (era: number) => void;
    /** Called when the authority to promote instances of a service is read or has changed. */
    readonly onAuthorityChanged: (service: string, authority: Authority) => void;
}

/** The VMs' own table, as it was read: their registrations and the authorities to promote. */
export class CoordinationTable {
    private readonly listing = createMemberListing<MemberRow>();
    /** Point up to which the table was read. */
    private point: StorePoint = { era: 0, version: 0 };
    private nextSettlingAtMs = -Infinity;

    private constructor(private readonly options: CoordinationTableOptions) {}

    static create(options: CoordinationTableOptions): CoordinationTable {
        return new CoordinationTable(options);
    }

    /**
     * Takes over a full read of the table.
     *
     * @param last point up to which the table was known; undefined at the start of the process
     */
    replaceRows(rows: readonly StoreRow[], point: StorePoint, last: StorePoint | undefined): void {
        this.options.onEraRead(point.era);
        this.applyAuthorities(rows, point.era);
        const { feedWaitMs, nowMs, onMembersChanged } = this.options;
        // Until a VM finds that it has to connect to the store again, it does not know of the restore.
        const settledAtMs = nowMs() + feedWaitMs + REGISTRATION_MARGIN_MS;
        replaceMembers(this.listing, decodeMembers(rows), { isRestored: isRestoredSince(last, point), settledAtMs });
        this.point = point;
        onMembersChanged(this.listing, point);
    }

    /** Applies changed rows, up to a point. */
    applyChanges(rows: readonly StoreRow[], point: StorePoint): void {
        this.applyAuthorities(rows, point.era);
        rows.forEach(row => this.applyMemberChange(row));
        this.point = point;
        this.options.onMembersChanged(this.listing, point);
    }

    /** Reads the table of a restored store again when the time is over in which VMs have registered in it. */
    tick(nowMs: number): void {
        if (nowMs >= this.nextSettlingAtMs && isMemberSettlingDue(this.listing, nowMs)) {
            this.nextSettlingAtMs = nowMs + SETTLING_RETRY_DELAY_MS;
            void this.settle(nowMs);
        }
    }

    private async settle(nowMs: number): Promise<void> {
        const { store, logger, onMembersChanged } = this.options;
        try {
            const { rows, era } = await store.readTable(COORDINATION_TABLE);
            if (era === this.point.era) {
                const vms = settleMembers(this.listing, decodeMembers(rows), nowMs);
                logger.info("the restored store is believed about VMs that have not registered in it again", { vms });
                onMembersChanged(this.listing, this.point);
            }
        }
        catch (error) {
            logger.info("the registrations in the restored store cannot be read; the VMs that are known still count", {
                reason: (error as Error).message,
            });
        }
    }

    private applyAuthorities(rows: readonly StoreRow[], era: number): void {
        for (const row of rows) {
            const authority = parseAuthorityKey(row.key);
            if (authority?.era === era) {
                this.applyAuthority(authority.service, row, era);
            }
        }
    }

    /** Keeps the known authority if the row cannot be read; the other rows still apply. */
    private applyAuthority(service: string, row: StoreRow, era: number): void {
        try {
            this.options.onAuthorityChanged(service, decodeAuthority(row, era));
        }
        catch (error) {
            this.options.logger.error("the authority to promote instances cannot be read; the previous one is kept", {
                service,
                reason: (error as Error).message,
            });
        }
    }

    private applyMemberChange(row: StoreRow): void {
        const member = decodeMember(row);
        if (member !== undefined && row.isDeleted) {
            recordDeleted(this.listing, member.vm);
        }
        else if (member !== undefined) {
            recordRegistered(this.listing, member);
        }
    }
}
