/**
 * Calls `run` again and again, each time after the number of milliseconds that the last call returned. An error does not
 * end the loop.
 *
 * @param onError called with each error
 * @param delayAfterErrorMs delay before the call after an error, in milliseconds
 */
export const startLoop = (run: () => number, onError: (error: Error) => void, delayAfterErrorMs: number): void => {
    let delayMs = delayAfterErrorMs;
    try {
        delayMs = run();
    }
    catch (error) {
        onError(error as Error);
    }
    setTimeout(() => startLoop(run, onError, delayAfterErrorMs), delayMs);
};
