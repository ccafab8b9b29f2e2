import { ApplyActionKind } from "@pomeloturn/config-version/applyMessages";
import { HEAD_KEY, parseHead } from "@pomeloturn/config-version/ConfigHead";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { expect, it } from "vitest";
import { ActiveConfiguration, type ActiveConfigurationOptions } from "../programs/controller/src/ActiveConfiguration.ts";
import {
    ApplyRunner,
    createConfiguredPlatform,
    createFirstServiceFile,
    createSecondServiceFile,
    readHistory,
    replaceFiles,
    SAMPLE_FILES,
} from "./support/applyFixture.ts";
import type { FakePlatform } from "./support/FakePlatform.ts";

const FIRST_EDIT = replaceFiles(SAMPLE_FILES, createFirstServiceFile("second"));
const SECOND_EDIT = replaceFiles(FIRST_EDIT, createSecondServiceFile("third"));
const OTHER_EDIT = replaceFiles(SAMPLE_FILES, createSecondServiceFile("other"));

const apply = (platform: FakePlatform, baseVersion: number, files: readonly ConfigFile[]): void => {
    const outcome = new ApplyRunner(platform, "ana", baseVersion, files).finish();
    expect(outcome).toMatchObject({ isAccepted: true, version: baseVersion + 1 });
};

const createActive = (platform: FakePlatform, losses: unknown[]): ActiveConfiguration => {
    const options: ActiveConfigurationOptions = {
        table: platform,
        objects: platform,
        onActivated: () => undefined,
        onInvalid: (_objectName, error) => {
            throw error;
        },
        onLost: (...loss) => losses.push(loss),
    };
    return ActiveConfiguration.create(options);
};

const headVersion = (platform: FakePlatform): number => parseHead(platform.readRows([HEAD_KEY])[0]!).version;

it("a change that was in force is missing from the restored table service, so that the next edit undoes it", async () => {
    const platform = createConfiguredPlatform();
    const copy = platform.copyTable();
    apply(platform, 1, FIRST_EDIT);
    const losses: unknown[] = [];
    const active = createActive(platform, losses);
    await active.pollHead();
    platform.restoreTable(copy);
    await active.pollHead();
    expect([headVersion(platform), active.version, readHistory(platform).map(({ version }) => version)]).toEqual([2, 2, [2, 1]]);
    expect(losses).toEqual([[2, 1, true]]);
    apply(platform, 2, SECOND_EDIT);
    await active.pollHead();
    expect(active.version).toBe(3);
});

it("an edit that was applied to the restored table service is overwritten", async () => {
    const platform = createConfiguredPlatform();
    const copy = platform.copyTable();
    apply(platform, 1, FIRST_EDIT);
    apply(platform, 2, SECOND_EDIT);
    const losses: unknown[] = [];
    const active = createActive(platform, losses);
    await active.pollHead();
    platform.restoreTable(copy);
    apply(platform, 1, OTHER_EDIT);
    await active.pollHead();
    await active.pollHead();
    expect([headVersion(platform), active.version, losses]).toEqual([2, 3, [[3, 2, false]]]);
});

it("VMs that notice the restore together write the configuration twice", async () => {
    const platform = createConfiguredPlatform();
    const copy = platform.copyTable();
    apply(platform, 1, FIRST_EDIT);
    const losses: unknown[] = [];
    const vms = [createActive(platform, losses), createActive(platform, losses)];
    await Promise.all(vms.map(vm => vm.pollHead()));
    platform.restoreTable(copy);
    await Promise.all(vms.map(vm => vm.pollHead()));
    expect(platform.readRows([HEAD_KEY])).toMatchObject([{ version: 2, era: 2 }]);
});

it("an edit that was planned before the restore replaces one that was applied after it", () => {
    const platform = createConfiguredPlatform();
    const copy = platform.copyTable();
    apply(platform, 1, FIRST_EDIT);
    const planned = new ApplyRunner(platform, "ana", 2, SECOND_EDIT);
    while (planned.action.kind !== ApplyActionKind.Transact) {
        planned.step();
    }
    platform.restoreTable(copy);
    apply(platform, 1, OTHER_EDIT);
    expect(planned.finish()).toMatchObject({ isAccepted: false });
    expect(headVersion(platform)).toBe(2);
});
