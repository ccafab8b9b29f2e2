import { it } from "vitest";
import { createPipeline, createStatement } from "./support/crowdMessages.ts";
import { expectToSurvive } from "./support/limitedVm.ts";

/** Its answer is ten times as long. */
const MALFORMED_STATEMENT = "QUERY q a\r\n";

const sendEach = (message: Buffer, callerCount: number): Promise<void> =>
    expectToSurvive({
        callers: Array.from({ length: callerCount }, () => ({ pieces: [message], isReading: false })),
        sendLimitMs: 15_000,
    });

it("many short statements sent ahead without reading the answers end the process", () =>
    sendEach(createPipeline("QUERY q READ a\r\n", 20_000), 250));

it("errors of many short statements that the caller does not read end the process", () =>
    sendEach(createPipeline(MALFORMED_STATEMENT, 40_000), 60));

it("large statements sent ahead without reading the answers end the process", () =>
    sendEach(createPipeline(createStatement(1_000_000), 10), 60));
