import { parseConfiguration } from "@pomeloturn/config-version/ConfigBundle";
import { HEAD_KEY, parseHead } from "@pomeloturn/config-version/ConfigHead";
import { ActivationDecision, decideActivation } from "@pomeloturn/config-version/decideActivation";
import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ObjectStore, TableService } from "@pomeloturn/types/Platform";

interface ConfigurationVersion {
    readonly version: number;
    readonly objectName: string;
    readonly configuration: Configuration;
}

/** Dependencies and callbacks of the active configuration. */
export interface ActiveConfigurationOptions {
    readonly table: TableService;
    readonly objects: ObjectStore;
    /** Called after a new version has become active. */
    onActivated(): void;
    /** Called when a version is rejected because its object cannot be read, is not valid or conflicts with the active one. */
    onInvalid(objectName: string, error: Error): void;
}

/** The configuration version that is active on this VM. The version number never decreases. */
export class ActiveConfiguration {
    private current: ConfigurationVersion | undefined;
    private body = "";

    private constructor(private readonly options: ActiveConfigurationOptions) {}

    static create(options: ActiveConfigurationOptions): ActiveConfiguration {
        return new ActiveConfiguration(options);
    }

    /** Number of the active version; 0 before the first one. */
    get version(): number {
        return this.current?.version ?? 0;
    }

    get configuration(): Configuration | undefined {
        return this.current?.configuration;
    }

    /** Returns the version with the name and the body of its object, which other controllers need to activate it. */
    buildOffer(): { readonly version: number; readonly objectName: string; readonly body: string; } {
        return { version: this.version, objectName: this.current?.objectName ?? "", body: this.body };
    }

    /** Reads the head row and activates the version that it names, if it is higher. @throws PomeloturnError with `StoreUnavailable` */
    async pollHead(): Promise<void> {
        const [row] = await this.options.table.read([HEAD_KEY]);
        const head = row === undefined ? undefined : parseHead(row);
        if (head !== undefined && this.shouldActivate(head.version, head.objectName)) {
            this.activateIfNewer(head.version, head.objectName, await this.options.objects.get(head.objectName) ?? "");
        }
    }

    /** Activates a version from the store or from another controller if it is higher. Ignores an offer with an empty body. */
    activateIfNewer(version: number, objectName: string, body: string): void {
        if (!this.shouldActivate(version, objectName) || body === "") {
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
        this.options.onActivated();
    }

    /** Whether the version replaces the active one. Reports a conflict when the same version names another object. */
    shouldActivate(version: number, objectName: string): boolean {
        const decision = decideActivation(this.current, { version, objectName });
        if (decision === ActivationDecision.Conflicting) {
            this.options.onInvalid(objectName, new Error(`version ${version} is already active with another object`));
        }
        return decision === ActivationDecision.Activate;
    }
}
