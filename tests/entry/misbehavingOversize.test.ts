import { it } from "vitest";
import { splitIntoPieces } from "./support/CallerCrowd.ts";
import { createUnfinishedSession, createUnfinishedStartup } from "./support/crowdMessages.ts";
import { expectToSurvive } from "./support/limitedVm.ts";

const MESSAGE_BYTES = 20_000_000;
const PIECE_BYTES = 100_000;
const CALLER_COUNT = 300;

const sendEach = (message: Buffer): Promise<void> =>
    expectToSurvive({
        callers: Array.from({ length: CALLER_COUNT }, () => ({ pieces: splitIntoPieces(message, PIECE_BYTES), pieceIntervalMs: 20 })),
        sendLimitMs: 15_000,
    });

it("statements far over the limit end the process", () => sendEach(createUnfinishedSession(MESSAGE_BYTES)));

it("start-up messages far over the limit end the process", () => sendEach(createUnfinishedStartup(MESSAGE_BYTES)));
