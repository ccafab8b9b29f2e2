/** Named counters of one process. */
export class Counters {
    private readonly values = new Map<string, number>();

    private constructor() {}

    static create(): Counters {
        return new Counters();
    }

    /** Adds to a counter. Counters start at 0. */
    add(name: string, amount = 1): void {
        this.values.set(name, (this.values.get(name) ?? 0) + amount);
    }

    read(name: string): number {
        return this.values.get(name) ?? 0;
    }

    /** Returns a copy of all counters by name. */
    snapshot(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.values);
    }
}
