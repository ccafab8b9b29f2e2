import type { CallerAnswer } from "@pomeloturn/platform/support/LineCaller";
import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { LostDirection, type SilentLink } from "../support/SilentLink.ts";
import { EntryDeployment, TIMEOUT_MS } from "./support/EntryDeployment.ts";

const SESSION_COUNT = 6;
const PAUSE_MS = 15;
const RECOVERY_MS = 3_000;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

interface Outcome {
    readonly sentAtMs: number;
    readonly answeredAtMs: number;
    readonly text: string;
    readonly answer: CallerAnswer;
}

/** Sends statements one after the other on one session until the test ends, which is opened again if it breaks. */
const sendStatements = async (
    port: number,
    database: string,
    name: string,
    texts: readonly string[],
    outcomes: Outcome[],
): Promise<void> => {
    let isOver = false;
    cleanups.push(() => isOver = true);
    let caller: LineCaller | undefined;
    for (let count = 0; !isOver; count++) {
        caller = caller === undefined || caller.isClosed ? await LineCaller.open(port, database) : caller;
        for (const [index, text] of texts.entries()) {
            const sentAtMs = performance.now();
            const answer = await caller?.run(`${name}-${count}-${index}`, text) ?? { kind: "broken", text: "" } as const;
            outcomes.push({ sentAtMs, answeredAtMs: performance.now(), text, answer });
            if (answer.kind !== "complete") {
                await caller?.run(`${name}-${count}-end`, "ROLLBACK");
                break;
            }
        }
        await delay(PAUSE_MS);
    }
    caller?.close();
};

/** Puts a link before each instance. */
const linkInstances = async (deployment: EntryDeployment): Promise<SilentLink[]> => {
    const links: SilentLink[] = [];
    for (const instance of deployment.group.instances) {
        const link = await deployment.openLink(instance.ownAddress);
        instance.register(link.address);
        links.push(link);
    }
    return links;
};

const { Both, ToClient, ToServer } = LostDirection;
const statements = {
    writes: ["writes", ["WRITE 1a4 x"]],
    reads: ["reads", ["READ 1a4"]],
    "reads of the primary": ["writes", ["READ 1a4"]],
    transactions: ["writes", ["BEGIN", "READ 1a4", "WRITE 1a4 x", "COMMIT"]],
} as const;

it.each(
    [
        ["writes", Both, 1],
        ["writes", ToServer, 2],
        ["reads", Both, 1],
        ["reads", ToClient, 2],
        ["reads of the primary", ToServer, 1],
        ["transactions", Both, 2],
        ["transactions", ToClient, 1],
    ] as const,
)(
    "%s fail for longer than one time limit after the connections to the instances went silent (%s, %i times)",
    async (kind, lost, silenceCount) => {
        const deployment = await EntryDeployment.create();
        cleanups.push(() => deployment.close());
        const links = await linkInstances(deployment);
        const vm = await deployment.startVm();
        const outcomes: Outcome[] = [];
        const [database, texts] = statements[kind];
        for (let index = 0; index < SESSION_COUNT; index++) {
            void sendStatements(vm.callerPort, database, `s${index}`, texts, outcomes);
        }
        await delay(1_500);
        let openCount = 0;
        let silencedAtMs = 0;
        for (let index = 0; index < silenceCount; index++) {
            openCount += links.reduce((sum, link) => sum + link.silence(lost), 0);
            silencedAtMs = performance.now();
            await delay(index < silenceCount - 1 ? TIMEOUT_MS / 2 : RECOVERY_MS);
        }
        const failed = outcomes.filter(({ answer }) => answer.kind !== "complete");
        expect(openCount).toBeGreaterThan(0);
        expect(failed.length).toBeLessThanOrEqual(openCount);
        expect(failed.filter(({ answeredAtMs }) => answeredAtMs > silencedAtMs + 2 * TIMEOUT_MS)).toEqual([]);
        expect(outcomes.filter(({ sentAtMs }) => sentAtMs > silencedAtMs + TIMEOUT_MS).length).toBeGreaterThan(50);
        expect(deployment.orders.orders).toEqual([]);
    },
);
