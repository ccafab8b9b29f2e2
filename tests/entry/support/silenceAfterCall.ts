import type { LostDirection, SilentLink } from "../../support/SilentLink.ts";

/** Makes connections silent right after a call of a feed: this takes longest to notice. */
export const silenceAfterCall = async (link: SilentLink, feed: RegExp, lost: LostDirection, pattern: RegExp): Promise<void> => {
    do {
        await link.waitForMessage(feed);
    }
    while (link.silence(lost, pattern) === 0);
};
