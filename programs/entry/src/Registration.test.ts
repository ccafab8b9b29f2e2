import { createLogger } from "@pomeloturn/logger/createLogger";
import type { MemberRow } from "@pomeloturn/platform/decodeMember";
import type { StoreClient, WriteResult } from "@pomeloturn/platform/StoreClient";
import { createMemberListing, type MemberListing, recordDeleted } from "@pomeloturn/vm-registration/MemberListing";
import { replaceMembers } from "@pomeloturn/vm-registration/replaceMembers";
import { expect, it, vi } from "vitest";
import { Registration } from "./Registration.ts";

const AFTER_RESTORE = { era: 2, version: 3 };
const ALONE: MemberRow = { vm: "vm-1", version: 2, failureDomain: "north-a", relayAddress: "10.0.0.1:7441" };
const OTHER: MemberRow = { vm: "vm-2", version: 3, failureDomain: "north-a", relayAddress: "10.0.0.2:7441" };

/** Starts the registration of vm-1 at a store that records the changes. */
const start = (): { readonly registration: Registration; readonly changes: string[]; } => {
    const changes: string[] = [];
    const record = (change: string): Promise<WriteResult> => {
        changes.push(change);
        return Promise.resolve({ isApplied: true, era: 1, version: 9, rows: [] });
    };
    const store = {
        writeRow: (_table: string, { key }: { readonly key: string; }) => record(`write ${key}`),
        deleteRow: (_table: string, key: string, version?: number) => record(`delete ${key} ${version}`),
    } as unknown as StoreClient;
    const registration = Registration.create(ALONE, store, createLogger("test", "vm-1"));
    registration.start();
    return { registration, changes };
};

const list = (...rows: readonly MemberRow[]): MemberListing<MemberRow> => {
    const listing = createMemberListing<MemberRow>();
    replaceMembers(listing, rows, { isRestored: false, settledAtMs: 0 });
    return listing;
};

const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 20));

it("does not leave a VM unregistered whose registration a restored store has lost", async () => {
    const { registration, changes } = start();
    await settle();
    const listing = list(ALONE, OTHER);
    replaceMembers(listing, [OTHER], { isRestored: true, settledAtMs: 0 });
    registration.applyListing(listing, AFTER_RESTORE);
    await settle();
    expect(changes).toEqual(["write vm/vm-1", "write vm/vm-1"]);
});

it("does not leave a VM registered that has left when a restored store lists it again", async () => {
    const { registration, changes } = start();
    await settle();
    const listing = list(ALONE, OTHER);
    recordDeleted(listing, OTHER.vm);
    replaceMembers(listing, [ALONE, OTHER], { isRestored: true, settledAtMs: 0 });
    registration.applyListing(listing, AFTER_RESTORE);
    registration.applyListing(listing, AFTER_RESTORE);
    await vi.waitFor(() => expect(changes).toEqual(["write vm/vm-1", `delete vm/vm-2 ${OTHER.version}`]));
});

it("does not leave a VM registered that has left when a second restore brings back the same row", async () => {
    const { registration, changes } = start();
    await settle();
    const listing = list(ALONE, OTHER);
    recordDeleted(listing, OTHER.vm);
    for (const era of [AFTER_RESTORE.era, AFTER_RESTORE.era + 1]) {
        replaceMembers(listing, [ALONE, OTHER], { isRestored: true, settledAtMs: 0 });
        registration.applyListing(listing, { ...AFTER_RESTORE, era });
        await vi.waitFor(() => expect(changes.at(-1)).toBe(`delete vm/vm-2 ${OTHER.version}`));
        changes.push("deleted");
    }
});
