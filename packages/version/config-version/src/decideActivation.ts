/** Decisions on an offered configuration version. */
export const ActivationDecision = {
    /** Fetch the object from the store or the peer that offered it and activate it. */
    Activate: "activate",
    Keep: "keep",
    /** Two different objects have the same version: keep the active one and report the conflict. */
    Conflicting: "conflicting",
} as const;
export type ActivationDecision = typeof ActivationDecision[keyof typeof ActivationDecision];

/** A version and the name of the object that holds its files. `ConfigHead` satisfies this interface. */
export interface VersionReference {
    readonly version: number;
    readonly objectName: string;
}

/**
 * Decides whether a node activates a version that the store or a peer offers. The version of a node never decreases:
 * an offer from a store or a peer that is behind is ignored.
 *
 * @param current the active version of this node; undefined on a new VM
 */
export const decideActivation = (current: VersionReference | undefined, offered: VersionReference): ActivationDecision => {
    const currentVersion = current?.version ?? 0;
    if (offered.version > currentVersion) {
        return ActivationDecision.Activate;
    }
    const isConflicting = current !== undefined && offered.version === currentVersion && offered.objectName !== current.objectName;
    return isConflicting ? ActivationDecision.Conflicting : ActivationDecision.Keep;
};
