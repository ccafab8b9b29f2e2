import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

/**
 * Frees the memory of buffers that are no longer used. V8 counts buffers against the limit of its heap and would let many of them
 * pile up: 45 MB with a heap limit of 40 MB.
 */
export const collectGarbage = (): void => {
    if (collect === undefined) {
        setFlagsFromString("--expose-gc");
        collect = runInNewContext("gc") as () => void;
    }
    collect();
};
