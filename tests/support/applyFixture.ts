/** Fixtures of the configuration tests: valid files, edits of them, and operators that apply edits to the fake platform. */

import {
    type ApplyAction,
    ApplyActionKind,
    type ApplyEvent,
    ApplyEventKind,
    type ApplyOutcome,
} from "@pomeloturn/config-version/applyMessages";
import { parseBundle } from "@pomeloturn/config-version/ConfigBundle";
import { HISTORY_KEY, type HistoryEntry, parseHistory } from "@pomeloturn/config-version/ConfigHead";
import { type ApplyState, createApply, stepApply } from "@pomeloturn/config-version/stepApply";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { expect } from "vitest";
import { FakePlatform } from "./FakePlatform.ts";

export const STEP_LIMIT = 500;
const START_EVENT: ApplyEvent = { kind: ApplyEventKind.Start };
export const FAILED_EVENT: ApplyEvent = { kind: ApplyEventKind.Failed };

const RANK = { name: "filing", targetLatencyMs: 100, floorShare: 0.5, worth: 10, deadlineMs: 5_000 };
const SERVICE = {
    user: "editor",
    password: "secret",
    tokenKey: "key",
    groups: ["log-1"],
    ranks: [RANK],
    defaultRank: "filing",
    readKinds: { session: {} },
    defaultReadKind: "session",
    acknowledgeAfter: "primary",
};
const INSTANCE = { host: "127.0.0.1", port: 5432, failureDomain: "cluj-a", slots: 2, connections: 16 };
const LINK = { fromRegion: "ro-nord", toRegion: "ro-sud", approvedBytesPerSecond: 100, approvedBytesPerMonth: 1_000 };
export const LINK_SHARE = { fromRegion: "ro-nord", toRegion: "ro-sud", rank: "filing", bytesPerSecond: 60, bytesPerMonth: 600 };

const TOPOLOGY_FILE_NAME = "10-places.json";
export const FIRST_FILE_NAME = "20-first.json";
export const SECOND_FILE_NAME = "21-second.json";
export const FINANCE_FILE_NAME = "30-finance.json";

export const createConfigFile = (name: string, content: object, owner = "engineering"): ConfigFile => ({
    name,
    text: JSON.stringify({ owner, ...content }),
});
export const createServiceFile = (name: string, service: string, patch: object): ConfigFile =>
    createConfigFile(name, { services: { [service]: { ...SERVICE, ...patch } } });

export const SAMPLE_FILES: readonly ConfigFile[] = [
    createConfigFile(TOPOLOGY_FILE_NAME, {
        failureDomains: { "cluj-a": "ro-nord", "buc-a": "ro-sud" },
        latency: { betweenFailureDomainsMs: 1, betweenRegionsMs: 12 },
        groups: { "log-1": { database: "log", user: "proxy", password: "secret", instances: { one: INSTANCE } } },
    }),
    createServiceFile(FIRST_FILE_NAME, "first", {}),
    createServiceFile(SECOND_FILE_NAME, "second", {}),
    createConfigFile(FINANCE_FILE_NAME, { links: [LINK] }, "finance"),
];

export const replaceFiles = (files: readonly ConfigFile[], ...changed: readonly ConfigFile[]): ConfigFile[] => [
    ...files.filter(({ name }) => !changed.some(each => each.name === name)),
    ...changed,
];

/** Runs the apply of one operator against the fake platform, one action at a time. */
export class ApplyRunner {
    readonly state: ApplyState;
    action: ApplyAction;

    constructor(private readonly platform: FakePlatform, name: string, baseVersion: number | undefined, files: readonly ConfigFile[]) {
        this.state = createApply({ operator: name, appliedAtMs: 0, baseVersion, files });
        this.action = stepApply(this.state, START_EVENT);
    }

    get outcome(): ApplyOutcome | undefined {
        return this.action.kind === ApplyActionKind.Done ? this.action.outcome : undefined;
    }

    /** Executes the current action and passes on its answer, or a failure if `isDisconnected`. */
    step(isLost = false): void {
        const event = executeAction(this.platform, this.action);
        this.receive(isLost ? FAILED_EVENT : event);
    }

    receive(event: ApplyEvent): void {
        this.action = stepApply(this.state, event);
    }

    finish(): ApplyOutcome {
        for (let step = 0; step < STEP_LIMIT && this.outcome === undefined; step++) {
            this.step();
        }
        return this.outcome!;
    }
}

export const executeAction = (platform: FakePlatform, action: ApplyAction): ApplyEvent => {
    const handlers = {
        readRows: ({ keys }: { keys: readonly string[]; }) => ({ kind: ApplyEventKind.Rows, rows: platform.readRows(keys) }),
        getObjects: ({ names }: { names: readonly string[]; }) => ({
            kind: ApplyEventKind.Objects,
            bodies: names.map(name => platform.getObject(name)),
        }),
        putObject: ({ name, body }: { name: string; body: string; }) => {
            platform.putObject(name, body);
            return { kind: ApplyEventKind.ObjectPut };
        },
        transact: ({ operationId, writes }: Extract<ApplyAction, { kind: "transact"; }>) => ({
            kind: ApplyEventKind.Transacted,
            result: platform.applyTransaction(operationId, writes),
        }),
        done: () => FAILED_EVENT,
    };
    return (handlers[action.kind] as (action: ApplyAction) => ApplyEvent)(action);
};

export const readHistory = (platform: FakePlatform): readonly HistoryEntry[] => parseHistory(platform.readRows([HISTORY_KEY])[0]!);

export const readFiles = (platform: FakePlatform, version: number): ReadonlyMap<string, string> => {
    const entry = readHistory(platform).find(each => each.version === version);
    const files = entry === undefined ? [] : parseBundle(entry.objectName, platform.getObject(entry.objectName)!).files;
    return new Map(files.map(({ name, text }) => [name, text]));
};

export const createConfiguredPlatform = (): FakePlatform => {
    const platform = FakePlatform.create();
    expect(new ApplyRunner(platform, "first", undefined, SAMPLE_FILES).finish()).toMatchObject({ isAccepted: true, version: 1 });
    return platform;
};

export const createFirstServiceFile = (user: string): ConfigFile => createServiceFile(FIRST_FILE_NAME, "first", { user });
export const createSecondServiceFile = (user: string): ConfigFile => createServiceFile(SECOND_FILE_NAME, "second", { user });
export const createFinanceFile = (approvedBytesPerSecond: number): ConfigFile =>
    createConfigFile(FINANCE_FILE_NAME, { links: [{ ...LINK, approvedBytesPerSecond }] }, "finance");
