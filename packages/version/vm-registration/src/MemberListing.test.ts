import { expect, it } from "vitest";
import { createMemberListing, type MemberListing, recordDeleted, recordRegistered, type Registration } from "./MemberListing.ts";
import { replaceMembers } from "./replaceMembers.ts";
import { isMemberSettlingDue, settleMembers } from "./settleMembers.ts";

const A: Registration = { vm: "a", version: 3 };
const B: Registration = { vm: "b", version: 4 };
const SETTLED_AT_MS = 6_000;
const READ = { isRestored: false, settledAtMs: SETTLED_AT_MS };
const RESTORED = { isRestored: true, settledAtMs: SETTLED_AT_MS };

/** A listing in which VM b has deregistered. */
const createListing = (): MemberListing<Registration> => {
    const listing = createMemberListing();
    replaceMembers(listing, [A, B], READ);
    recordDeleted(listing, "b");
    return listing;
};

it("does not use a VM that has left when a restored store lists it again", () => {
    const listing = createListing();
    replaceMembers(listing, [A, B], RESTORED);
    expect([...listing.members.keys()]).toEqual(["a"]);
    expect([...listing.lostDeletions.values()]).toEqual([B]);
});

it.each([
    ["registers again after a restore", (listing: MemberListing<Registration>) => {
        replaceMembers(listing, [A, B], RESTORED);
        recordRegistered(listing, { ...B, version: 9 });
    }],
    ["registered again before a restore", (listing: MemberListing<Registration>) => {
        recordRegistered(listing, B);
        replaceMembers(listing, [A, B], RESTORED);
    }],
    ["is listed again by a store that was not restored", (listing: MemberListing<Registration>) => replaceMembers(listing, [A, B], READ)],
])("does not ignore a VM that %s", (_what, change) => {
    const listing = createListing();
    change(listing);
    expect([...listing.members.keys()]).toEqual(["a", "b"]);
    expect(listing.lostDeletions.size).toBe(0);
});

it("does not forget a VM whose registration a restored store has lost, also when the store is read again before the VM has written it", () => {
    const listing = createMemberListing();
    replaceMembers(listing, [A, B], READ);
    replaceMembers(listing, [A], RESTORED);
    replaceMembers(listing, [A], READ);
    expect([...listing.members.keys()]).toEqual(["a", "b"]);
    expect([...listing.unlisted.keys()]).toEqual(["b"]);
});

it("does not keep a VM for good that has left while the store was restored", () => {
    const listing = createMemberListing();
    replaceMembers(listing, [A, B], READ);
    replaceMembers(listing, [A], RESTORED);
    expect(isMemberSettlingDue(listing, SETTLED_AT_MS - 1)).toBe(false);
    expect(settleMembers(listing, [A], SETTLED_AT_MS - 1)).toEqual([]);
    expect(isMemberSettlingDue(listing, SETTLED_AT_MS)).toBe(true);
    expect(settleMembers(listing, [A], SETTLED_AT_MS)).toEqual(["b"]);
    expect([...listing.members.keys()]).toEqual(["a"]);
    expect(listing.unlisted.size).toBe(0);
});

it("does not drop a VM that has written its registration again", () => {
    const listing = createMemberListing();
    replaceMembers(listing, [A, B], READ);
    replaceMembers(listing, [A], RESTORED);
    expect(settleMembers(listing, [A, { ...B, version: 9 }], SETTLED_AT_MS)).toEqual([]);
    expect([...listing.members.keys()]).toEqual(["a", "b"]);
});

it("does not use a VM that has left when the restored store is read again before its deletion is repeated", () => {
    const listing = createListing();
    replaceMembers(listing, [A, B], RESTORED);
    replaceMembers(listing, [A, B], READ);
    expect([...listing.members.keys()]).toEqual(["a"]);
    expect([...listing.lostDeletions.values()]).toEqual([B]);
});

it("does not count a deletion as lost any more when it has been repeated", () => {
    const listing = createListing();
    replaceMembers(listing, [A, B], RESTORED);
    recordDeleted(listing, "b");
    expect(listing.lostDeletions.size).toBe(0);
});
