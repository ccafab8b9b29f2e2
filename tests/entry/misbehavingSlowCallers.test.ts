import { it } from "vitest";
import { splitIntoPieces } from "./support/CallerCrowd.ts";
import { createPipeline, createUnfinishedSession, STARTUP } from "./support/crowdMessages.ts";
import { type CrowdOptions, expectToSurvive } from "./support/limitedVm.ts";

const CALLER_COUNT = 900;
const STOPPED_MESSAGE_BYTES = 200_000;

const createCrowd = (caller: () => CrowdOptions["callers"][number]): CrowdOptions => ({
    callers: Array.from({ length: CALLER_COUNT }, caller),
    sendLimitMs: 6_000,
    holdMs: 4_000,
});

it("a crowd that sends one byte at a time uses up the descriptors", () =>
    expectToSurvive(createCrowd(() => ({ pieces: splitIntoPieces(createPipeline("QUERY q READ a\r\n", 1), 1), pieceIntervalMs: 500 }))));

it("a crowd that stops in the middle of a message uses up the memory or the descriptors", () =>
    expectToSurvive(createCrowd(() => ({ pieces: [createUnfinishedSession(STOPPED_MESSAGE_BYTES)] }))));

it("a crowd that does not read its answers uses up the memory or the descriptors", () =>
    expectToSurvive(createCrowd(() => ({ pieces: [createPipeline("QUERY q a\r\n", 300)], isReading: false }))));

it("a crowd that stops after its start-up message uses up the descriptors", () =>
    expectToSurvive(createCrowd(() => ({ pieces: [STARTUP] }))));
