import { serializeBundle } from "@pomeloturn/config-version/ConfigBundle";
import { HEAD_KEY } from "@pomeloturn/config-version/ConfigHead";
import { Owner } from "@pomeloturn/merge-config/ConfigFile";
import type { Configuration } from "@pomeloturn/types/Configuration";

/** Object and head row that make a configuration the active version 1. */
export interface SampleBundle {
    readonly objectName: string;
    readonly body: string;
    readonly headKey: string;
    readonly headValue: string;
}

/** Builds the bundle of a configuration from one file of engineering and one of finance. */
export const createSampleBundle = ({ links, ...engineering }: Configuration): SampleBundle => {
    const files = [
        { name: "10-engineering.json", text: JSON.stringify({ owner: Owner.Engineering, ...engineering }) },
        { name: "20-finance.json", text: JSON.stringify({ owner: Owner.Finance, links }) },
    ];
    const { objectName, body } = serializeBundle({ version: 1, files });
    return { objectName, body, headKey: HEAD_KEY, headValue: JSON.stringify({ version: 1, objectName, files: [] }) };
};
