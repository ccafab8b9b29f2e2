import { it } from "vitest";
import { createLargeStartup, createPipeline, createSession, createStatement } from "./support/crowdMessages.ts";
import { expectToSurvive } from "./support/limitedVm.ts";

const MESSAGE_BYTES = 1_000_000;
const CALLER_COUNT = 300;

const sendEach = (message: Buffer, callerCount = CALLER_COUNT): Promise<void> =>
    expectToSurvive({ callers: Array.from({ length: callerCount }, () => ({ pieces: [message] })), sendLimitMs: 15_000 });

it("a crowd of large statements ends the process", () => sendEach(createSession(MESSAGE_BYTES)));

it("a crowd of large start-up messages ends the process", () => sendEach(createLargeStartup(MESSAGE_BYTES), 2 * CALLER_COUNT));

it("what many sessions have set ends the process", () => sendEach(createPipeline(createStatement(200_000, "SET name "), 1)));
