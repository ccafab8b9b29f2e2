const TIMEOUT_MS = 20_000;
const RETRY_INTERVAL_MS = 50;

/**
 * Repeats an attempt until it succeeds.
 *
 * @param condition what the attempt waits for, used in the error message
 * @throws Error after `TIMEOUT_MS`, with the error of the last attempt as its cause
 */
export const waitFor = async <Result>(condition: string, attempt: () => Promise<Result>): Promise<Result> => {
    const deadlineMs = performance.now() + TIMEOUT_MS;
    for (;;) {
        try {
            return await attempt();
        }
        catch (error) {
            if (performance.now() > deadlineMs) {
                throw new Error(`timed out after ${TIMEOUT_MS} ms waiting for ${condition}`, { cause: error });
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
        }
    }
};
