const TIMEOUT_MS = 20_000;
const INTERVAL_MS = 50;

/** Repeats an attempt until it succeeds. @throws its last error after a time limit */
export const waitFor = async <Result>(what: string, attempt: () => Promise<Result>): Promise<Result> => {
    const deadlineMs = performance.now() + TIMEOUT_MS;
    for (;;) {
        try {
            return await attempt();
        }
        catch (error) {
            if (performance.now() > deadlineMs) {
                throw new Error(`waited in vain for ${what}`, { cause: error });
            }
            await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
        }
    }
};
