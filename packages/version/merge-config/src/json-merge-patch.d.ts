declare module "json-merge-patch" {
    const jsonMergePatch: {
        /** Applies a JSON Merge Patch (RFC 7396); changes and returns `target`. */
        apply(target: unknown, patch: unknown): unknown;
    };
    export default jsonMergePatch;
}
