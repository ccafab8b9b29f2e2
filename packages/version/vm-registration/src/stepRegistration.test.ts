import { expect, it } from "vitest";
import { createRegistration, type RegistrationState } from "./RegistrationState.ts";
import { RegistrationAction, stepRegistration } from "./stepRegistration.ts";

const WRITTEN_AT = { era: 1, version: 9 };
const AFTER_RESTORE = { era: 2, version: 4 };

const createRegistered = (): RegistrationState => {
    const state = createRegistration();
    expect(stepRegistration(state, { kind: "started" })).toBe(RegistrationAction.Register);
    stepRegistration(state, { kind: "changed", isRegistered: true, point: WRITTEN_AT });
    return state;
};

const createShutDown = (): RegistrationState => {
    const state = createRegistered();
    expect(stepRegistration(state, { kind: "shuttingDown" })).toBe(RegistrationAction.Delete);
    stepRegistration(state, { kind: "changed", isRegistered: false, point: { era: 1, version: 12 } });
    return state;
};

it.each(
    [
        [
            "lets a registration be lost for good that the store has lost",
            createRegistered,
            false,
            AFTER_RESTORE,
            RegistrationAction.Register,
        ],
        ["leaves a registration whose deletion the store has lost", createShutDown, true, AFTER_RESTORE, RegistrationAction.Delete],
        ["writes again what is there", createRegistered, true, AFTER_RESTORE, undefined],
        ["writes again because of a table that was read before the write", createRegistered, false, { era: 1, version: 8 }, undefined],
    ] as const,
)("never %s", (_what, create, isRegistered, point, expected) => {
    expect(stepRegistration(create(), { kind: "read", isRegistered, point })).toBe(expected);
});

it("does not write twice while an answer is outstanding", () => {
    const state = createRegistered();
    const lost = { kind: "read", isRegistered: false, point: AFTER_RESTORE } as const;
    expect(stepRegistration(state, lost)).toBe(RegistrationAction.Register);
    expect(stepRegistration(state, lost)).toBeUndefined();
    expect(stepRegistration(state, { kind: "retryDue" })).toBe(RegistrationAction.Register);
});

it.each(
    [
        ["answered", { kind: "changed", isRegistered: true, point: WRITTEN_AT }],
        ["lost", { kind: "retryDue" }],
    ] as const,
)("does not leave the registration of a VM that began its shutdown before the write was %s", (_what, event) => {
    const state = createRegistration();
    stepRegistration(state, { kind: "started" });
    // Written beside the registration, the deletion could be applied before it.
    expect(stepRegistration(state, { kind: "shuttingDown" })).toBeUndefined();
    expect(stepRegistration(state, event)).toBe(RegistrationAction.Delete);
});
