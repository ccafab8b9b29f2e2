import { Freshness, type RouteEntry, type RouteTable } from "@pomeloturn/types/ServiceEntries";
import type { TeamTable } from "@pomeloturn/types/Teams";
import { describe, expect, it } from "vitest";
import { identifyCaller, NO_TEAM } from "./identifyCaller.ts";

const TEAMS: TeamTable = {
    teams: new Map([["gozi510", { name: "gozi510", operationsPerS: 180, burstOperations: 180 }]]),
    teamNamesByKey: new Map([["key-1", "gozi510"], ["key-2", "gozi510"]]),
};

const createRoute = (isPublic: boolean): RouteEntry => ({
    database: "leny950",
    service: "ledger",
    freshness: Freshness.Primary,
    maximumAgeMs: undefined,
    timeoutMs: 800,
    targetLatencyMs: 400,
    rank: 0,
    isPublic,
});

const createTable = (teams: TeamTable | undefined): RouteTable => ({
    version: 1,
    routes: new Map(),
    services: new Map(),
    transactionIdleMs: 3_000,
    teams,
});

describe("identifyCaller", () => {
    it.each([
        ["serves a caller with a key under another team's name", TEAMS, false, "key-2", "gozi510"],
        ["serves a caller with an unknown key", TEAMS, false, "key-3", undefined],
        ["serves a caller without a key", TEAMS, false, "", undefined],
        ["refuses a caller of a public route", TEAMS, true, "", NO_TEAM],
        ["tells instances a team on a public route", TEAMS, true, "key-1", NO_TEAM],
        ["asks for a key where the configuration lists no teams", undefined, false, "u3f1", NO_TEAM],
        ["takes the name of an object's property for a key", TEAMS, false, "constructor", undefined],
    ])("would fail if it %s", (_failure, teams, isPublic, key, expected) => {
        expect(identifyCaller(createTable(teams), createRoute(isPublic), key)).toBe(expected);
    });
});
