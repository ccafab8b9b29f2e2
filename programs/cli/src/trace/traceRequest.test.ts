import { describe, expect, it } from "vitest";
import { parseLogLine, traceRequest } from "./traceRequest.ts";

const formatMeta = (process: string, time: string): string => `"_meta":{"name":"entry@${process}","date":"2026-02-20T04:34:${time}Z"}}`;

/** Lines with the prefix of a log collector, an event of another service, and two lines that cannot be parsed. */
const LOG_LINES = [
    `  16.1000 vm-2 {"0":"replacing the primary","1":{"service":"xawu56a","reason":"down","leader":"i-1"},${formatMeta("vm-2", "20.100")}`,
    `  16.3262 vm-1 {"0":"statement","1":{"requestId":"doubt","service":"xawu56a","code":401,"instance":"i-1"},${
        formatMeta("vm-1", "20.325")
    }`,
    `  16.4000 vm-3 {"0":"statement","1":{"requestId":"refused","service":"ticu7c","code":202,"instance":""},${
        formatMeta("vm-3", "20.400")
    }`,
    `  16.5000 vm-3 {"0":"statement","1":{"requestId":"stale","service":"ticu7c","code":209,"sampleAgeMs":1900},${
        formatMeta("vm-3", "20.500")
    }`,
    `  16.2000 vm-1 {"0":"a new configuration is active","1":{"version":3},${formatMeta("vm-1", "20.200")}`,
    "no line of ours",
    "{ \"broken\": ",
].map(parseLogLine).filter(line => line !== undefined);

const traceEvents = (requestId: string): string[] => traceRequest(LOG_LINES, requestId).map(({ process, event }) => `${process} ${event}`);

describe("traceRequest", () => {
    it.each([
        ["a write with an unknown outcome", "doubt", [
            "entry@vm-2 replacing the primary",
            "entry@vm-1 a new configuration is active",
            "entry@vm-1 statement",
        ]],
        ["a request refused under load", "refused", ["entry@vm-1 a new configuration is active", "entry@vm-3 statement"]],
        ["a read refused because of stale data", "stale", ["entry@vm-1 a new configuration is active", "entry@vm-3 statement"]],
        ["an unknown request", "none", []],
    ])("selects the lines of %s and the events shortly before", (_kind, requestId, events) => {
        expect(traceEvents(requestId)).toEqual(events);
    });
});
