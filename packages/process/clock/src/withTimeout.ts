/**
 * Resolves with the promise's value, or with undefined after `waitMs`. Rejects when the promise does. At the timeout,
 * data that sockets have already received is processed first, because timers run before sockets in the event loop.
 */
export const withTimeout = <Value>(promise: Promise<Value>, waitMs: number): Promise<Value | undefined> =>
    new Promise((resolve, reject) => {
        const timer = setTimeout(() => setImmediate(() => resolve(undefined)), Math.max(0, waitMs));
        promise.then(
            value => {
                clearTimeout(timer);
                resolve(value);
            },
            (error: Error) => {
                clearTimeout(timer);
                reject(error);
            },
        );
    });
