import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, it } from "vitest";
import { loadSettings } from "./loadSettings.ts";

const SCHEMA = {
    type: "object",
    additionalProperties: false,
    required: ["vm", "port"],
    properties: {
        vm: { type: "string", minLength: 1 },
        port: { type: "integer", minimum: 1, maximum: 65_535 },
        limits: { type: "object", additionalProperties: { type: "integer" }, default: {} },
        groups: { type: "array", items: { type: "object", additionalProperties: false, properties: { name: { type: "string" } } } },
        timeoutMs: { type: "integer", default: 1_000 },
    },
};

const writeSettingsFile = (text: string): string => {
    const file = join(mkdtempSync(join(tmpdir(), "pomeloturn-settings-")), "proxy.json");
    writeFileSync(file, text);
    return file;
};

it("fills in the schema's defaults", () => {
    expect(loadSettings(writeSettingsFile("{\"vm\":\"vm-1\",\"port\":1}"), SCHEMA)).toEqual({
        vm: "vm-1",
        port: 1,
        limits: {},
        timeoutMs: 1_000,
    });
});

it.each([
    ["a file that is not JSON", "{", ResultCode.SettingsUnreadable, "proxy.json"],
    ["an empty file", "", ResultCode.SettingsUnreadable, "proxy.json"],
    ["a list", "[]", ResultCode.SettingsInvalid, "proxy.json at /: must be object (type)"],
    ["null", "null", ResultCode.SettingsInvalid, "proxy.json at /: must be object (type)"],
    ["a missing key", "{\"vm\":\"a\"}", ResultCode.SettingsInvalid, "proxy.json at /: must have required property 'port' (required)"],
    ["a wrong type", "{\"vm\":1,\"port\":1}", ResultCode.SettingsInvalid, "proxy.json at /vm: must be string (type)"],
    ["a port out of range", "{\"vm\":\"a\",\"port\":70000}", ResultCode.SettingsInvalid, "proxy.json at /port: must be <= 65535 (maximum)"],
    ["a fraction", "{\"vm\":\"a\",\"port\":1.5}", ResultCode.SettingsInvalid, "proxy.json at /port: must be integer (type)"],
    [
        "an unknown key",
        "{\"vm\":\"a\",\"port\":1,\"prot\":2}",
        ResultCode.SettingsInvalid,
        "proxy.json at /prot: must NOT have additional properties (additionalProperties)",
    ],
    [
        "an unknown nested key",
        "{\"vm\":\"a\",\"port\":1,\"groups\":[{\"nmae\":\"x\"}]}",
        ResultCode.SettingsInvalid,
        "proxy.json at /groups/0/nmae: must NOT",
    ],
    [
        "a wrong nested value",
        "{\"vm\":\"a\",\"port\":1,\"limits\":{\"x\":\"y\"}}",
        ResultCode.SettingsInvalid,
        "proxy.json at /limits/x: must be integer (type)",
    ],
])("rejects %s and names the file, path and rule", (_name, text, code, message) => {
    expect(() => loadSettings(writeSettingsFile(text), SCHEMA)).toThrow(
        expect.objectContaining({ code, message: expect.stringContaining(message) as string }),
    );
});

it("names all violations", () => {
    expect(() => loadSettings(writeSettingsFile("{\"vm\":\"\",\"port\":0}"), SCHEMA)).toThrow(/at \/vm: .*; .*at \/port: /);
});

it("rejects a file that does not exist", () => {
    expect(() => loadSettings("no-such-file.json", SCHEMA)).toThrow(expect.objectContaining({ code: ResultCode.SettingsUnreadable }));
});
