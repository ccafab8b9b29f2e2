/** Constants for what a node does with a version that it hears of. */
export const AdoptDecision = {
    /** Fetch the object from the store or the peer that told of it, and put it in force. */
    Adopt: "adopt",
    Keep: "keep",
    /** Two objects under one version: keep what is in force and report it. */
    Conflicting: "conflicting",
} as const;
export type AdoptDecision = typeof AdoptDecision[keyof typeof AdoptDecision];

/** A version and the object that holds it; `ConfigHead` has both. */
export interface VersionReference {
    readonly version: number;
    readonly objectName: string;
}

/**
 * Decides whether a node puts a version in force that the store or a peer states. Versions never go back:
 * a store or a peer that is behind is passed over.
 *
 * @param current the version in force on this node; undefined on a new VM
 */
export const adoptVersion = (current: VersionReference | undefined, offered: VersionReference): AdoptDecision => {
    const currentVersion = current?.version ?? 0;
    if (offered.version > currentVersion) {
        return AdoptDecision.Adopt;
    }
    const isConflicting = current !== undefined && offered.version === currentVersion && offered.objectName !== current.objectName;
    return isConflicting ? AdoptDecision.Conflicting : AdoptDecision.Keep;
};
