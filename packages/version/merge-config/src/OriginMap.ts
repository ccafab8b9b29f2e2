import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type ConfigProblem, Owner, type ParsedFile } from "./ConfigFile.ts";
import { isJsonObject, isWithin, listLeaves } from "./jsonPointer.ts";

/** Top-level keys that only one owner may set. */
const RESERVED_KEYS: Readonly<Record<string, Owner>> = { "/links": Owner.Finance };

/** Who set a value. */
export interface Origin {
    readonly file: string;
    readonly owner: Owner;
}

/** The file that set each value of a merged configuration, by the value's JSON pointer. */
export class OriginMap {
    private readonly origins = new Map<string, Origin>();
    /** Pointers of empty objects, which others may fill. */
    private readonly emptyObjects = new Set<string>();

    private constructor() {}

    static create(): OriginMap {
        return new OriginMap();
    }

    /** Notes what a file sets and removes; @returns where it touches what another owner's file set */
    add(file: ParsedFile): ConfigProblem[] {
        return listLeaves(file.patch).filter(([pointer]) => pointer !== "").flatMap(([pointer, leaf]) => {
            const touched = this.listTouched(pointer);
            if (isJsonObject(leaf) && touched.some(known => known !== pointer && isWithin(known, pointer))) {
                return [];
            }
            const problems = [...checkReserved(file, pointer), ...this.checkOverwritten(file, pointer, touched)];
            this.replace(pointer, leaf, touched, file);
            return problems;
        });
    }

    /** All values in the order of their pointers. */
    list(): readonly (readonly [pointer: string, origin: Origin])[] {
        return [...this.origins].sort(([left], [right]) => left < right ? -1 : 1);
    }

    /** Files that set the value at a pointer: the value itself, what it lies in, or what lies below it. */
    findFiles(pointer: string): string {
        const files = [...this.origins].filter(([known]) => isWithin(known, pointer) || isWithin(pointer, known)).map(([, { file }]) =>
            file
        );
        return [...new Set(files)].sort().join(", ");
    }

    private listTouched(pointer: string): string[] {
        return [...this.origins.keys()].filter(known => isWithin(known, pointer) || isWithin(pointer, known));
    }

    private checkOverwritten({ name, owner }: ParsedFile, pointer: string, touched: readonly string[]): ConfigProblem[] {
        return touched
            .filter(known => !this.emptyObjects.has(known))
            .map(known => this.origins.get(known)!)
            .filter(origin => origin.owner !== owner)
            .map(origin => conflict(name, pointer, `was set by ${origin.owner}'s file ${origin.file}`));
    }

    private replace(pointer: string, leaf: unknown, touched: readonly string[], { name, owner }: ParsedFile): void {
        for (const known of touched) {
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
        .map(([, reservedOwner]) => conflict(name, pointer, `is set by ${reservedOwner}'s files only`));

const conflict = (file: string, path: string, message: string): ConfigProblem => ({
    code: ResultCode.OwnerConflict,
    file,
    path,
    rule: "owner",
    message,
});
