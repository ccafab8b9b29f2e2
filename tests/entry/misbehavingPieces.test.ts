import { it } from "vitest";
import { splitIntoPieces } from "./support/CallerCrowd.ts";
import { createSession, createUnfinishedSession, createUnfinishedStartup } from "./support/crowdMessages.ts";
import { expectToSurvive } from "./support/limitedVm.ts";

const MESSAGE_BYTES = 1_000_000;
const PIECE_BYTES = 4_000;
const CALLER_COUNT = 300;

const sendEach = (message: Buffer): Promise<void> =>
    expectToSurvive({
        callers: Array.from({ length: CALLER_COUNT }, () => ({ pieces: splitIntoPieces(message, PIECE_BYTES), pieceIntervalMs: 10 })),
        sendLimitMs: 15_000,
    });

it("large statements in small pieces end the process", () => sendEach(createSession(MESSAGE_BYTES)));

it("large unfinished statements end the process", () => sendEach(createUnfinishedSession(MESSAGE_BYTES)));

it("large unfinished start-up messages end the process", () => sendEach(createUnfinishedStartup(MESSAGE_BYTES)));
