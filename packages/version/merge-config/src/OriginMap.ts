import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type ConfigProblem, Owner, type ParsedFile } from "./ConfigFile.ts";
import { isJsonObject, isWithin, listLeaves } from "./jsonPointer.ts";

/** Top-level keys that only one owner may set, as JSON pointers. */
const RESERVED_KEYS: Readonly<Record<string, Owner>> = { "/links": Owner.Finance };

/** File that set a value, and its owner. */
export interface Origin {
    readonly file: string;
    readonly owner: Owner;
}

/** Records which file set each value of a merged configuration, by the value's JSON pointer. */
export class OriginMap {
    private readonly origins = new Map<string, Origin>();
    /** Pointers of empty objects, which files of any owner may fill. */
    private readonly emptyObjects = new Set<string>();

    private constructor() {}

    static create(): OriginMap {
        return new OriginMap();
    }

    /** Records the values that a file sets and removes. @returns problems for values that belong to another owner */
    add(file: ParsedFile): ConfigProblem[] {
        return listLeaves(file.patch).filter(([pointer]) => pointer !== "").flatMap(([pointer, leaf]) => {
            const overlapping = this.listOverlapping(pointer);
            if (isJsonObject(leaf) && overlapping.some(known => known !== pointer && isWithin(known, pointer))) {
                return [];
            }
            const problems = [...checkReserved(file, pointer), ...this.checkOverwritten(file, pointer, overlapping)];
            this.replace(pointer, leaf, overlapping, file);
            return problems;
        });
    }

    /** Lists the origins of all values, sorted by pointer. */
    list(): readonly (readonly [pointer: string, origin: Origin])[] {
        return [...this.origins].sort(([left], [right]) => left < right ? -1 : 1);
    }

    /** Returns the names of the files that set the value at a pointer, one of its ancestors or one of its descendants, joined by ", ". */
    findFiles(pointer: string): string {
        const files = [...this.origins].filter(([known]) => isWithin(known, pointer) || isWithin(pointer, known)).map(([, { file }]) =>
            file
        );
        return [...new Set(files)].sort().join(", ");
    }

    private listOverlapping(pointer: string): string[] {
        return [...this.origins.keys()].filter(known => isWithin(known, pointer) || isWithin(pointer, known));
    }

    private checkOverwritten({ name, owner }: ParsedFile, pointer: string, overlapping: readonly string[]): ConfigProblem[] {
        return overlapping
            .filter(known => !this.emptyObjects.has(known))
            .map(known => this.origins.get(known)!)
            .filter(origin => origin.owner !== owner)
            .map(origin => conflict(name, pointer, `the value was set by ${origin.owner}'s file ${origin.file}`));
    }

    private replace(pointer: string, leaf: unknown, overlapping: readonly string[], { name, owner }: ParsedFile): void {
        for (const known of overlapping) {
            this.origins.delete(known);
            this.emptyObjects.delete(known);
        }
        if (leaf !== null) {
            this.origins.set(pointer, { file: name, owner });
        }
        if (isJsonObject(leaf)) {
            this.emptyObjects.add(pointer);
        }
    }
}

const checkReserved = ({ name, owner }: ParsedFile, pointer: string): ConfigProblem[] =>
    Object.entries(RESERVED_KEYS)
        .filter(([reserved, reservedOwner]) => isWithin(pointer, reserved) && owner !== reservedOwner)
        .map(([, reservedOwner]) => conflict(name, pointer, `the value may be set in ${reservedOwner}'s files only`));

const conflict = (file: string, path: string, message: string): ConfigProblem => ({
    code: ResultCode.OwnerConflict,
    file,
    path,
    rule: "owner",
    message,
});
