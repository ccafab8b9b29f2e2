import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ControllerDrainAction, createControllerDrain, stepControllerDrain } from "./stepControllerDrain.ts";
import {
    createProxyDrain,
    LEASE_TRANSFER_TIMEOUT_MS,
    PAUSE_TIMEOUT_MS,
    ProxyDrainAction,
    type ProxyWork,
    stepProxyDrain,
} from "./stepProxyDrain.ts";

const SEED = 5_103;
const DURATION_MS = 30_000;
const IDLE: ProxyWork = { sessions: 0, openTransactions: 0, runningRequests: 0, areLeasesTransferred: false };
const { PauseNewWork, EndTransactions, ReportQuiesced, ResumeNewWork, EndSessions, Finish } = ProxyDrainAction;

const run = (steps: readonly (readonly [atMs: number, work: Partial<ProxyWork>])[]): ProxyDrainAction[][] => {
    const state = createProxyDrain(DURATION_MS, 0);
    return steps.map(([atMs, work]) => stepProxyDrain(state, { ...IDLE, ...work }, atMs));
};

describe("stepProxyDrain", () => {
    it.each(
        [
            ["transfers the leases and finishes when the proxy is idle", [[0, {}], [20, { areLeasesTransferred: true }], [40, {
                areLeasesTransferred: true,
            }]], [
                [PauseNewWork, ReportQuiesced],
                [ResumeNewWork],
                [Finish],
            ]],
            ["waits for an open transaction up to half of the deadline", [[0, { openTransactions: 1 }], [14_999, { openTransactions: 1 }], [
                15_000,
                {},
            ]], [
                [],
                [],
                [PauseNewWork, ReportQuiesced],
            ]],
            ["pauses new work until the running requests are done", [[0, { runningRequests: 2 }], [20, { runningRequests: 1 }], [40, {}]], [
                [PauseNewWork],
                [],
                [ReportQuiesced],
            ]],
            ["ends a transaction that is still open when the pause times out", [[15_000, { openTransactions: 1 }], [
                15_000 + PAUSE_TIMEOUT_MS,
                { openTransactions: 1 },
            ]], [
                [PauseNewWork],
                [EndTransactions, ReportQuiesced],
            ]],
            [
                "resumes new work when no VM takes over the leases in time",
                [[0, {}], [LEASE_TRANSFER_TIMEOUT_MS - 1, {}], [LEASE_TRANSFER_TIMEOUT_MS, {}]],
                [
                    [PauseNewWork, ReportQuiesced],
                    [],
                    [ResumeNewWork],
                ],
            ],
            ["ends a session that is still open at the deadline", [
                [0, { sessions: 1 }],
                [20, { sessions: 1, areLeasesTransferred: true }],
                [40, {
                    sessions: 1,
                }],
                [
                    DURATION_MS,
                    { sessions: 1 },
                ],
            ], [[PauseNewWork, ReportQuiesced], [ResumeNewWork], [], [EndSessions, Finish]]],
        ] as const,
    )("%s", (_name, steps, expected) => {
        expect(run(steps)).toEqual(expected);
    });

    it("finishes once, emits actions in order, and always resumes paused work", () => {
        const work = fc.record({
            sessions: fc.nat(2),
            openTransactions: fc.nat(1),
            runningRequests: fc.nat(1),
            areLeasesTransferred: fc.boolean(),
        });
        const order = [PauseNewWork, EndTransactions, ReportQuiesced, ResumeNewWork, EndSessions, Finish];
        fc.assert(
            fc.property(fc.array(fc.tuple(fc.nat(5_000), work), { maxLength: 40 }), steps => {
                let nowMs = 0;
                const times = steps.map(([delayMs, each]) => [nowMs += delayMs, each] as const);
                const latest = { sessions: 1, openTransactions: 1, runningRequests: 1 };
                const end = [1, 2, 3, 4].map(step => [nowMs + step * DURATION_MS, latest] as const);
                const actions = run([...times, ...end]).flat();
                expect(actions).toEqual(order.filter(action => actions.includes(action)));
                expect(actions).toEqual(expect.arrayContaining([PauseNewWork, ReportQuiesced, ResumeNewWork, Finish]));
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });
});

describe("stepControllerDrain", () => {
    const inputs = { isProxyConnected: true, isProxyQuiesced: false, isReleased: false };
    it.each([
        ["waits for the proxy at each step", [inputs, { ...inputs, isProxyQuiesced: true }, { ...inputs, isReleased: true }, inputs, {
            ...inputs,
            isProxyConnected: false,
        }], [[], [ControllerDrainAction.ReleaseLeases], [], [], [ControllerDrainAction.Finish]]],
        ["does not wait for a proxy that is not connected", [{ ...inputs, isProxyConnected: false }, { ...inputs, isReleased: true }, {
            ...inputs,
            isProxyConnected: false,
        }], [[ControllerDrainAction.ReleaseLeases], [], [ControllerDrainAction.Finish]]],
    ])("%s", (_name, steps, expected) => {
        const state = createControllerDrain(DURATION_MS, 0);
        expect(steps.map(step => stepControllerDrain(state, step, 1))).toEqual(expected);
    });
});
