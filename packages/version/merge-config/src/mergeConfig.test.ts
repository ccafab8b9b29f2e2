import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { describe, expect, it } from "vitest";
import type { ConfigFile } from "./ConfigFile.ts";
import { formatProblem, mergeConfig, mergeConfigOrThrow } from "./mergeConfig.ts";

const RANK = { name: "filing", targetLatencyMs: 100, floorShare: 0.5, worth: 10, deadlineMs: 5_000 };
const SERVICE = {
    user: "editor",
    password: "secret",
    tokenKey: "key",
    groups: ["log-1"],
    ranks: [RANK, { ...RANK, name: "lookup" }],
    defaultRank: "lookup",
    readKinds: { session: {} },
    defaultReadKind: "session",
    acknowledgeAfter: "primary",
};
const INSTANCE = { host: "127.0.0.1", port: 5432, failureDomain: "cluj-a", slots: 2, connections: 16 };
const LINK = { fromRegion: "ro-nord", toRegion: "ro-sud", approvedBytesPerSecond: 100, approvedBytesPerMonth: 1_000 };
const SHARE = { fromRegion: "ro-nord", toRegion: "ro-sud", rank: "lookup", bytesPerSecond: 60, bytesPerMonth: 600 };

const PLACES = {
    owner: "engineering",
    failureDomains: { "cluj-a": "ro-nord", "buc-a": "ro-sud" },
    latency: { betweenFailureDomainsMs: 1.5, betweenRegionsMs: 12 },
    groups: { "log-1": { database: "log", user: "proxy", password: "secret", instances: { one: INSTANCE } } },
};
const FINANCE = { owner: "finance", links: [LINK] };

type Patch = Readonly<Record<string, unknown>>;

/** A valid folder with one additional file, which is merged last. */
const folder = (name: string, patch: unknown): ConfigFile[] =>
    Object.entries({
        "10-places.json": PLACES,
        "20-services.json": { owner: "engineering", services: { "log-core": SERVICE } },
        "30-finance.json": FINANCE,
        [name]: patch,
    }).map(([fileName, content]) => ({ name: fileName, text: typeof content === "string" ? content : JSON.stringify(content) }));

const engineering = (patch: Patch): unknown => ({ owner: "engineering", ...patch });
const service = (patch: Patch): unknown => engineering({ services: { "log-core": patch } });
const instance = (patch: Patch): unknown => engineering({ groups: { "log-1": { instances: { one: patch } } } });

const FILE = "90-edit.json";
const INVALID = ResultCode.ConfigurationInvalid;
const OVERLAP = ResultCode.OwnerConflict;

describe("invalid files", () => {
    it.each<[name: string, patch: unknown, code: number, path: string, rule: string, message: RegExp]>([
        ["invalid JSON", "{", INVALID, "/", "json", /./],
        ["an array", [], INVALID, "/", "type", /object/],
        ["no owner", {}, INVALID, "/owner", "enum", /finance, engineering/],
        ["an unknown owner", { owner: "sales" }, INVALID, "/owner", "enum", /finance/],
        [
            "a name with a special meaning in JavaScript",
            service({ readKinds: { constructor: {} } }),
            INVALID,
            "/services/log-core/readKinds/constructor",
            "propertyNames",
            /name/,
        ],
        ["__proto__", "{\"owner\":\"engineering\",\"__proto__\":{\"a\":1}}", INVALID, "/__proto__", "propertyNames", /name/],
        ["an unknown key", engineering({ sevices: {} }), INVALID, "/sevices", "additionalProperties", /additional/],
        ["an unknown key of a service", service({ colour: 1 }), INVALID, "/services/log-core/colour", "additionalProperties", /additional/],
        ["a name in capitals", engineering({ failureDomains: { Cluj: "ro-nord" } }), INVALID, "/failureDomains/Cluj", "propertyNames", /./],
        ["a string for a number", instance({ slots: "2" }), INVALID, "/groups/log-1/instances/one/slots", "type", /integer/],
        ["no slots", instance({ slots: 0 }), INVALID, "/groups/log-1/instances/one/slots", "minimum", />= 1/],
        [
            "a floor above 1",
            service({ ranks: [{ ...RANK, floorShare: 2 }] }),
            INVALID,
            "/services/log-core/ranks/0/floorShare",
            "maximum",
            /<= 1/,
        ],
        ["no ranks", service({ ranks: [] }), INVALID, "/services/log-core/ranks", "minItems", /./],
        [
            "a default rank that does not exist",
            service({ defaultRank: "none" }),
            INVALID,
            "/services/log-core/defaultRank",
            "reference",
            /no rank none/,
        ],
        [
            "a rank twice",
            service({ ranks: [RANK, RANK], defaultRank: "filing" }),
            INVALID,
            "/services/log-core/ranks",
            "reference",
            /twice/,
        ],
        ["an unknown read kind", service({ defaultReadKind: "old" }), INVALID, "/services/log-core/defaultReadKind", "reference", /old/],
        ["an unknown group", service({ groups: ["log-1", "log-9"] }), INVALID, "/services/log-core/groups/1", "reference", /log-9/],
        [
            "an unknown failure domain",
            instance({ failureDomain: "iasi-a" }),
            INVALID,
            "/groups/log-1/instances/one/failureDomain",
            "reference",
            /iasi-a/,
        ],
        [
            "an unknown rank of a share",
            service({ linkShares: [{ ...SHARE, rank: "x" }] }),
            INVALID,
            "/services/log-core/linkShares/0/rank",
            "reference",
            /x/,
        ],
        [
            "floors above 1",
            service({ ranks: [RANK, { ...RANK, name: "lookup", floorShare: 0.6 }] }),
            ResultCode.FloorStranded,
            "/services/log-core/ranks",
            "floor",
            /1\.1/,
        ],
        ["engineering approves link traffic", engineering({ links: [LINK] }), OVERLAP, "/links", "owner", /finance's files only/],
        ["engineering removes the approval", engineering({ links: null }), OVERLAP, "/links", "owner", /finance/],
        [
            "finance overwrites a value of engineering",
            { owner: "finance", services: { "log-core": { user: "x" } } },
            OVERLAP,
            "/services/log-core/user",
            "owner",
            /20-services\.json/,
        ],
        [
            "finance removes a service",
            { owner: "finance", services: { "log-core": null } },
            OVERLAP,
            "/services/log-core",
            "owner",
            /20-services\.json/,
        ],
        ["finance replaces all services", { owner: "finance", services: 1 }, OVERLAP, "/services", "owner", /20-services\.json/],
        [
            "a sum above the approved rate",
            service({ linkShares: [SHARE, { ...SHARE, rank: "filing", bytesPerMonth: 1 }] }),
            ResultCode.ApprovedAmountExceeded,
            "/services/log-core/linkShares/0, /services/log-core/linkShares/1",
            "approved",
            /120 bytes\/s is requested, but only 100 bytes\/s is approved/,
        ],
        [
            "a sum above the approved monthly amount",
            service({ linkShares: [SHARE, { ...SHARE, bytesPerSecond: 40 }] }),
            ResultCode.ApprovedAmountExceeded,
            "/services/log-core/linkShares/0, /services/log-core/linkShares/1",
            "approved",
            /1200 bytes per month is requested, but only 1000 bytes per month is approved/,
        ],
        [
            "a direction that was not approved",
            service({ linkShares: [{ ...SHARE, fromRegion: "ro-sud", toRegion: "ro-nord", bytesPerMonth: 0 }] }),
            ResultCode.ApprovedAmountExceeded,
            "/services/log-core/linkShares/0",
            "approved",
            /60 bytes\/s is requested, but only 0 bytes\/s is approved/,
        ],
    ])("%s", (_name, patch, code, path, rule, message) => {
        const { problems } = mergeConfig(folder(FILE, patch));
        expect(problems[0]).toMatchObject({ code, file: FILE, path, rule, message: expect.stringMatching(message) });
        expect(() => mergeConfigOrThrow(folder(FILE, patch))).toThrow(expect.objectContaining({ code }));
    });

    it.each<[name: string, links: readonly unknown[], path: string, rule: string, message: RegExp]>([
        ["the same link twice", [LINK, LINK], "/links/0", "reference", /twice/],
        ["an unknown region", [{ ...LINK, toRegion: "md-est" }], "/links/0/toRegion", "reference", /md-est/],
        ["a link within one region", [{ ...LINK, toRegion: "ro-nord" }], "/links/0", "reference", /two regions/],
        ["a negative amount", [{ ...LINK, approvedBytesPerSecond: -1 }], "/links/0/approvedBytesPerSecond", "minimum", />= 0/],
    ])("finance defines %s", (_name, links, path, rule, message) => {
        const { problems } = mergeConfig(folder("30-finance.json", { owner: "finance", links }));
        expect(problems.map(({ rule: each }) => each)).toContain(rule);
        const last = problems.at(-1)!;
        expect(last.file).toBe("30-finance.json");
        expect(last.path.replace("/links/1", "/links/0")).toBe(path);
        expect(last.message).toMatch(message);
    });

    it("reports all problems, each with file, path, message and rule", () => {
        const { problems } = mergeConfig(folder(FILE, service({ defaultRank: "a", defaultReadKind: "b" })));
        expect(problems.map(formatProblem)).toEqual([
            "90-edit.json at /services/log-core/defaultRank: there is no rank a (reference)",
            "90-edit.json at /services/log-core/defaultReadKind: there is no read kind b (reference)",
        ]);
    });
});

describe("valid files", () => {
    it.each<[name: string, patch: unknown, expected: object]>([
        ["a later file of the same owner overwrites a value", service({ user: "other" }), {
            services: { "log-core": { user: "other", password: "secret" } },
        }],
        ["an array is replaced", service({ ranks: [RANK], defaultRank: "filing" }), { services: { "log-core": { ranks: [RANK] } } }],
        ["null removes a key", service({ readKinds: { session: null, fresh: {} }, defaultReadKind: "fresh" }), {
            services: { "log-core": { readKinds: { fresh: {} } } },
        }],
        ["finance adds a value that no file has set", { owner: "finance", services: { "log-core": { linkShares: [SHARE] } } }, {
            services: { "log-core": { linkShares: [SHARE] } },
        }],
        [
            "floors that add up to 1",
            service({ ranks: [0.1, 0.2, 0.7].map((floorShare, index) => ({ ...RANK, name: `r${index}`, floorShare })), defaultRank: "r0" }),
            {},
        ],
        ["an empty object changes nothing", { owner: "finance", services: {} }, { services: { "log-core": { user: "editor" } } }],
    ])("%s", (_name, patch, expected) => {
        expect(mergeConfigOrThrow(folder(FILE, patch)).configuration).toMatchObject(expected);
    });

    it("merges in the order of the names, regardless of the order of the files", () => {
        const files = folder(FILE, service({ user: "other" }));
        expect(mergeConfig([...files].reverse())).toEqual(mergeConfig(files));
    });

    it("tells which file set each value", () => {
        const { origins } = mergeConfig(folder(FILE, service({ user: "other" })));
        const byPointer = new Map(origins.list());
        expect(byPointer.get("/services/log-core/user")).toEqual({ file: FILE, owner: "engineering" });
        expect(byPointer.get("/services/log-core/password")).toEqual({ file: "20-services.json", owner: "engineering" });
        expect(byPointer.get("/links")).toEqual({ file: "30-finance.json", owner: "finance" });
        expect(byPointer.has("/owner")).toBe(false);
    });
});
