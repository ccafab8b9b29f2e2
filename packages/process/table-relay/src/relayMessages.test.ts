import { assert, json, oneof, property, string } from "fast-check";
import { expect, it } from "vitest";
import { formatMessage, parseReply, parseRequest, RelayStatus } from "./relayMessages.ts";

const request = { id: 1, table: "t", after: 5, era: 1, waitMs: 10 };
const reply = { id: 1, status: RelayStatus.Rows, rows: [{ key: "a", value: "", version: 3, isDeleted: false }], era: 1, version: 4 };

it("decodes what it encodes", () => {
    expect(parseRequest(formatMessage(request))).toEqual(request);
    expect(parseRequest(formatMessage({ ...request, after: undefined }))).toEqual({ ...request, after: undefined });
    expect(parseReply(formatMessage(reply))).toEqual(reply);
});

it.each([
    ["no JSON", "{"],
    ["a list", "[]"],
    ["null", "null"],
    ["another status", JSON.stringify({ ...reply, status: "fine" })],
    ["rows that are none", JSON.stringify({ ...reply, rows: [{ key: 1 }] })],
    ["a null row", JSON.stringify({ ...reply, rows: [null] })],
    ["a version below 0", JSON.stringify({ ...reply, version: -1 })],
])("refuses %s", (_what, line) => {
    expect([parseReply(line), parseRequest(line)]).toEqual([undefined, undefined]);
});

it("throws on no input", () => {
    assert(
        property(oneof(string(), json()), line => {
            parseRequest(line);
            parseReply(line);
        }),
        { seed: 20261204, numRuns: 2_000 },
    );
    assert(
        property(oneof(string(), json()), line => {
            parseRequest(line);
            parseReply(line);
        }),
        { numRuns: 500 },
    );
});
