import { serializeBundle } from "@pomeloturn/config-version/ConfigBundle";
import { HEAD_KEY } from "@pomeloturn/config-version/ConfigHead";
import { Owner } from "@pomeloturn/merge-config/ConfigFile";
import type { Configuration } from "@pomeloturn/types/Configuration";

/** The object and the row that put a configuration in force as its first version. */
export interface SampleBundle {
    readonly objectName: string;
    readonly body: string;
    readonly headKey: string;
    readonly headValue: string;
}

/** Packs a configuration as engineering's and finance's files would be. */
export const createSampleBundle = ({ links, ...engineering }: Configuration): SampleBundle => {
    const files = [
        { name: "10-engineering.json", text: JSON.stringify({ owner: Owner.Engineering, ...engineering }) },
        { name: "20-finance.json", text: JSON.stringify({ owner: Owner.Finance, links }) },
    ];
    const { objectName, body } = serializeBundle({ version: 1, files });
    return { objectName, body, headKey: HEAD_KEY, headValue: JSON.stringify({ version: 1, objectName, files: [] }) };
};
