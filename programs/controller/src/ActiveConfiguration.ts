import { parseConfiguration } from "@pomeloturn/config-version/ConfigBundle";
import { type ConfigHead, HEAD_KEY, HISTORY_KEY, parseHead } from "@pomeloturn/config-version/ConfigHead";
import { ActivationDecision, decideActivation } from "@pomeloturn/config-version/decideActivation";
import { planRewrite } from "@pomeloturn/config-version/planRewrite";
import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ObjectStore, TableRow, TableService } from "@pomeloturn/types/Platform";

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
    /** Called when the table service has lost the active version. `isRewritten`: whether it has it again. */
    onLost(version: number, storedVersion: number, isRewritten: boolean): void;
}

/** The configuration version that is active on this VM. The version number never decreases. */
export class ActiveConfiguration {
    private current: ConfigurationVersion | undefined;
    private body = "";
    /** Head and history row of the active version; undefined while this VM has not read them. */
    private rows: readonly TableRow[] | undefined;
    /** Version in the table service whose being too low was reported last. */
    private reportedLossVersion: number | undefined;

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

    /**
     * Reads the head row and activates the version that it names, if it is higher. Writes the rows of the active version again
     * if the table service has lost them.
     *
     * @throws PomeloturnError with `StoreUnavailable`
     */
    async pollHead(): Promise<void> {
        const { table, objects } = this.options;
        const [row] = await table.read([HEAD_KEY]);
        const head = row === undefined ? undefined : parseHead(row);
        if (head === undefined) {
            return;
        }
        if (this.shouldActivate(head.version, head.objectName)) {
            this.activateIfNewer(head.version, head.objectName, await objects.get(head.objectName) ?? "");
        }
        if (head.version < this.version) {
            await this.rewriteRows(head);
        }
        else if (head.version === this.version && head.version > 0) {
            await this.readRows(row!);
        }
    }

    private async readRows({ value }: TableRow): Promise<void> {
        if (this.rows?.[0]!.value !== value) {
            const rows = await this.options.table.read([HEAD_KEY, HISTORY_KEY]);
            this.rows = rows[0]?.value === value ? rows : undefined;
        }
    }

    private async rewriteRows({ version: storedVersion }: ConfigHead): Promise<void> {
        const { options } = this;
        const { version, rows: known } = this;
        const stored = await options.table.read([HEAD_KEY, HISTORY_KEY]);
        const writes = known === undefined ? undefined : planRewrite(known, stored);
        if (writes === undefined) {
            if (this.reportedLossVersion !== storedVersion) {
                this.reportedLossVersion = storedVersion;
                options.onLost(version, storedVersion, false);
            }
            return;
        }
        // The object store may have been restored too.
        await options.objects.put(this.buildOffer().objectName, this.body);
        const conditions = stored.map(row => `${row.era ?? 0}.${row.version}`).join("/");
        const { isApplied } = await options.table.transact(`${HEAD_KEY}/rewrite/${version}/${conditions}`, writes);
        options.onLost(version, storedVersion, isApplied);
    }

    /** Activates a version from the store or from another controller if it is higher. Ignores an offer with an empty body. */
    activateIfNewer(version: number, objectName: string, body: string): void {
        if (!this.shouldActivate(version, objectName) || body === "") {
            return;
        }
        try {
            this.current = { ...parseConfiguration(objectName, body), objectName };
            this.body = body;
            this.rows = undefined;
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
