import type { DemoStep } from "../DemoStep.ts";

const ROUND_COUNT = 30;

/** Continues a session at another proxy with its token after each write. */
export const roam: DemoStep = {
    name: "roam",
    run: async deployment => {
        let seenCount = 0;
        let token = "new";
        for (let round = 0; round < ROUND_COUNT; round++) {
            const writer = await deployment.connect(round % 3, `-c pomeloturn.token=${token}`);
            await writer.write(`roam-${round}`, String(round));
            token = writer.token;
            await writer.close();
            const reader = await deployment.connect((round + 1) % 3, `-c pomeloturn.token=${token}`);
            seenCount += (await reader.read(`roam-${round}`)) === String(round) ? 1 : 0;
            await reader.close();
        }
        return [{
            name: "a session sees its own writes at another proxy",
            isHeld: seenCount === ROUND_COUNT,
            detail: `${seenCount} of ${ROUND_COUNT}`,
        }];
    },
};
