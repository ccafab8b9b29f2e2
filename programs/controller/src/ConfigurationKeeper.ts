import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ObjectStore, TableService } from "@pomeloturn/types/Platform";
import { type ConfigurationVersion, openConfiguration } from "./openConfiguration.ts";

const HEAD_KEY = "config/head";

/** What the keeper works with. */
export interface ConfigurationKeeperOptions {
    readonly table: TableService;
    readonly objects: ObjectStore;
    onAdopted(): void;
    /** A version that cannot be read is not adopted. */
    onInvalid(objectName: string, error: Error): void;
}

/** The configuration version that is in force on this VM. It never goes back to a lower one. */
export class ConfigurationKeeper {
    private current: ConfigurationVersion | undefined;
    private objectName = "";
    private body = "";

    private constructor(private readonly options: ConfigurationKeeperOptions) {}

    static create(options: ConfigurationKeeperOptions): ConfigurationKeeper {
        return new ConfigurationKeeper(options);
    }

    /** 0 before the first version. */
    get version(): number {
        return this.current?.version ?? 0;
    }

    get configuration(): Configuration | undefined {
        return this.current?.configuration;
    }

    /** What another controller needs to adopt this version. */
    describe(): { readonly version: number; readonly objectName: string; readonly body: string; } {
        return { version: this.version, objectName: this.objectName, body: this.body };
    }

    /** Adopts the version that the head row names. @throws PomeloturnError with `StoreUnavailable` */
    async poll(): Promise<void> {
        const [row] = await this.options.table.read([HEAD_KEY]);
        if (row === undefined || row.version === 0) {
            return;
        }
        const { version, objectName } = JSON.parse(row.value) as { readonly version: number; readonly objectName: string; };
        if (version > this.version) {
            this.offer(version, objectName, await this.options.objects.get(objectName) ?? "");
        }
    }

    /** Adopts a version that the store or another controller offers, if it is higher. */
    offer(version: number, objectName: string, body: string): void {
        if (version <= this.version || body === "") {
            return;
        }
        try {
            const opened = openConfiguration(objectName, body);
            if (opened.version > this.version) {
                this.current = opened;
                this.objectName = objectName;
                this.body = body;
                this.options.onAdopted();
            }
        }
        catch (error) {
            this.options.onInvalid(objectName, error as Error);
        }
    }
}
