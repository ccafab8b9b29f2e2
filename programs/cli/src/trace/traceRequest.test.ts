import { describe, expect, it } from "vitest";
import { parseLine, traceRequest } from "./traceRequest.ts";

const meta = (process: string, time: string): string => `"_meta":{"name":"entry@${process}","date":"2026-02-20T04:34:${time}Z"}}`;

/** Lines as collectors hand them over, from a played day; the last is of another service. */
const LOG = [
    `  16.1000 vm-2 {"0":"replacing the primary","1":{"service":"xawu56a","reason":"down","leader":"i-1"},${meta("vm-2", "20.100")}`,
    `  16.3262 vm-1 {"0":"statement","1":{"requestId":"doubt","service":"xawu56a","code":401,"instance":"i-1"},${meta("vm-1", "20.325")}`,
    `  16.4000 vm-3 {"0":"statement","1":{"requestId":"refused","service":"ticu7c","code":202,"instance":""},${meta("vm-3", "20.400")}`,
    `  16.5000 vm-3 {"0":"statement","1":{"requestId":"stale","service":"ticu7c","code":209,"sampleAgeMs":1900},${meta("vm-3", "20.500")}`,
    `  16.2000 vm-1 {"0":"configuration in force","1":{"version":3},${meta("vm-1", "20.200")}`,
    "no line of ours",
    "{ \"broken\": ",
].map(parseLine).filter(line => line !== undefined);

const eventsOf = (requestId: string): string[] => traceRequest(LOG, requestId).map(({ process, event }) => `${process} ${event}`);

describe("the trace of a request", () => {
    it.each([
        ["a write in doubt", "doubt", ["entry@vm-2 replacing the primary", "entry@vm-1 configuration in force", "entry@vm-1 statement"]],
        ["a refusal under load", "refused", ["entry@vm-1 configuration in force", "entry@vm-3 statement"]],
        ["a stale read that was refused", "stale", ["entry@vm-1 configuration in force", "entry@vm-3 statement"]],
        ["an unknown request", "none", []],
    ])("shows %s with what was learned before", (_kind, requestId, events) => {
        expect(eventsOf(requestId)).toEqual(events);
    });
});
