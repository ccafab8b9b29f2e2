import { AdoptDecision, adoptVersion } from "@pomeloturn/config-version/adoptVersion";
import { parseConfiguration } from "@pomeloturn/config-version/ConfigBundle";
import { HEAD_KEY, parseHead } from "@pomeloturn/config-version/ConfigHead";
import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ObjectStore, TableService } from "@pomeloturn/types/Platform";

interface ConfigurationVersion {
    readonly version: number;
    readonly objectName: string;
    readonly configuration: Configuration;
}

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
        return { version: this.version, objectName: this.current?.objectName ?? "", body: this.body };
    }

    /** Adopts the version that the head row names. @throws PomeloturnError with `StoreUnavailable` */
    async poll(): Promise<void> {
        const [row] = await this.options.table.read([HEAD_KEY]);
        const head = row === undefined ? undefined : parseHead(row);
        if (head !== undefined && this.isWanted(head.version, head.objectName)) {
            this.offer(head.version, head.objectName, await this.options.objects.get(head.objectName) ?? "");
        }
    }

    /** Adopts a version that the store or another controller offers, if it is higher. */
    offer(version: number, objectName: string, body: string): void {
        if (!this.isWanted(version, objectName) || body === "") {
            return;
        }
        try {
            this.current = { ...parseConfiguration(objectName, body), objectName };
            this.body = body;
        }
        catch (error) {
            this.options.onInvalid(objectName, error as Error);
            return;
        }
        this.options.onAdopted();
    }

    /** Whether a version is to replace the one in force. */
    isWanted(version: number, objectName: string): boolean {
        const decision = adoptVersion(this.current, { version, objectName });
        if (decision === AdoptDecision.Conflicting) {
            this.options.onInvalid(objectName, new Error(`version ${version} is already in force as another object`));
        }
        return decision === AdoptDecision.Adopt;
    }
}
