import { StatementClass } from "@pomeloturn/types/StatementClass";
import { loadModule, parseSync } from "libpg-query";
import { classifyParseTree } from "./classifyParseTree.ts";

const CACHE_LIMIT_ENTRIES = 10_000;

/** Classifies statement texts and remembers the most recent results. */
export class StatementClassifier {
    private readonly cache = new Map<string, StatementClass>();

    private constructor() {}

    /** Loads the parser. */
    static async create(): Promise<StatementClassifier> {
        await loadModule();
        return new StatementClassifier();
    }

    /** Text that the parser refuses is a write, so that the primary answers it; one without a statement is a read. */
    classify(text: string): StatementClass {
        if (text.trim() === "") {
            return StatementClass.Read;
        }
        const known = this.cache.get(text);
        if (known !== undefined) {
            return known;
        }
        const result = parseAndClassify(text);
        this.remember(text, result);
        return result;
    }

    private remember(text: string, result: StatementClass): void {
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
