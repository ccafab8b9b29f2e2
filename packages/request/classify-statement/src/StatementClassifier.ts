import { StatementClass } from "@pomeloturn/types/StatementClass";
import { loadModule, parseSync } from "libpg-query";
import { classifyParseTree } from "./classifyParseTree.ts";

const CACHE_LIMIT_ENTRIES = 10_000;

/** Classifies statement texts, with a cache of the most recently added results. */
export class StatementClassifier {
    private readonly cache = new Map<string, StatementClass>();

    private constructor() {}

    /** Loads the parser and creates a classifier. */
    static async create(): Promise<StatementClassifier> {
        await loadModule();
        return new StatementClassifier();
    }

    /** Classifies a text. One that cannot be parsed is a write, so that the primary answers it; one without a statement is a read. */
    classify(text: string): StatementClass {
        if (text.trim() === "") {
            return StatementClass.Read;
        }
        const cached = this.cache.get(text);
        if (cached !== undefined) {
            return cached;
        }
        const result = parseAndClassify(text);
        this.cacheResult(text, result);
        return result;
    }

    private cacheResult(text: string, result: StatementClass): void {
        if (this.cache.size >= CACHE_LIMIT_ENTRIES) {
            const oldest = this.cache.keys().next();
            this.cache.delete(oldest.value!);
        }
        this.cache.set(text, result);
    }
}

const parseAndClassify = (text: string): StatementClass => {
    try {
        return classifyParseTree(parseSync(text));
    }
    catch {
        return StatementClass.Write;
    }
};
