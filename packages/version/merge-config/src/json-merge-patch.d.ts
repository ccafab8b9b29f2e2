declare module "json-merge-patch" {
    const jsonMergePatch: {
        /** Applies a JSON Merge Patch (RFC 7396) to `target` in place and returns it. */
        apply(target: unknown, patch: unknown): unknown;
    };
    export default jsonMergePatch;
}
