/** Lets several waiters wait for the next change, each with a limit of its own. */
export class ChangeSignal {
    private readonly waiters = new Set<() => void>();

    private constructor() {}

    static create(): ChangeSignal {
        return new ChangeSignal();
    }

    /** Resolves at the next change, at the latest after `waitMs`. */
    wait(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                this.waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            this.waiters.add(finish);
        });
    }

    /** Resolves all waits. */
    notify(): void {
        [...this.waiters].forEach(finish => finish());
    }
}
