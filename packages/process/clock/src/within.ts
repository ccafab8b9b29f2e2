/** The promise's value, or undefined when it takes longer than `waitMs`. What came meanwhile is read first, as timers run before sockets. */
export const within = <Value>(promise: Promise<Value>, waitMs: number): Promise<Value | undefined> =>
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
