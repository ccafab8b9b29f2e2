import { expect, it } from "vitest";
import {
    createMemberListing,
    type MemberListing,
    recordDeleted,
    recordRegistered,
    type Registration,
    replaceMembers,
} from "./MemberListing.ts";

const A: Registration = { vm: "a", version: 3 };
const B: Registration = { vm: "b", version: 4 };

/** A listing in which VM b has deregistered. */
const createListing = (): MemberListing<Registration> => {
    const listing = createMemberListing();
    replaceMembers(listing, [A, B], false);
    recordDeleted(listing, "b");
    return listing;
};

it("does not use a VM that has left when a restored store lists it again", () => {
    const listing = createListing();
    replaceMembers(listing, [A, B], true);
    expect([...listing.members.keys()]).toEqual(["a"]);
    expect([...listing.lostDeletions.values()]).toEqual([B]);
});

it.each([
    ["registers again after a restore", (listing: MemberListing<Registration>) => {
        replaceMembers(listing, [A, B], true);
        recordRegistered(listing, { ...B, version: 9 });
    }],
    ["registered again before a restore", (listing: MemberListing<Registration>) => {
        recordRegistered(listing, B);
        replaceMembers(listing, [A, B], true);
    }],
    ["is listed again by a store that was not restored", (listing: MemberListing<Registration>) => replaceMembers(listing, [A, B], false)],
])("does not ignore a VM that %s", (_what, change) => {
    const listing = createListing();
    change(listing);
    expect([...listing.members.keys()]).toEqual(["a", "b"]);
    expect(listing.lostDeletions.size).toBe(0);
});

it("does not forget a VM whose registration a restored store has lost", () => {
    const listing = createMemberListing();
    replaceMembers(listing, [A, B], false);
    replaceMembers(listing, [A], true);
    expect([...listing.members.keys()]).toEqual(["a", "b"]);
    expect([...listing.unlisted]).toEqual(["b"]);
    replaceMembers(listing, [A], false);
    expect([...listing.members.keys()]).toEqual(["a"]);
});

it("does not count a deletion as lost any more when it has been repeated", () => {
    const listing = createListing();
    replaceMembers(listing, [A, B], true);
    recordDeleted(listing, "b");
    expect(listing.lostDeletions.size).toBe(0);
});
