import { type RelayReply, type RelayRequest, RelayStatus } from "./relayMessages.ts";
import type { RelaySource } from "./RelayServer.ts";
import type { CacheAnswer, TableCache } from "./TableCache.ts";

/** Reads a table, waiting for its changes or for its first read as long as the request says. */
export const readSource = async (request: RelayRequest, source: RelaySource, nowMs: () => number): Promise<RelayReply> => {
    const { id, table, waitMs } = request;
    const endsAtMs = nowMs() + waitMs;
    for (;;) {
        const startedAtMs = nowMs();
        const cache = source.find(table);
        const answer = readCache(cache, request, startedAtMs);
        const isPending = answer.kind === "unchanged" || (answer.kind === "stale" && source.isLoading(table));
        if (!isPending || startedAtMs >= endsAtMs) {
            return toReply(id, answer);
        }
        const leftMs = endsAtMs - startedAtMs;
        await source.waitForChange(
            Math.max(1, answer.kind === "stale" ? leftMs : Math.min(leftMs, cache!.recentForMs(startedAtMs))),
        );
    }
};

const readCache = (cache: TableCache | undefined, { after, era }: RelayRequest, nowMs: number): CacheAnswer => {
    if (cache === undefined) {
        return STALE;
    }
    return after === undefined ? cache.readTable(nowMs) : cache.readChanges({ era: era ?? cache.knownPoint.era, version: after }, nowMs);
};

const STALE: CacheAnswer = { kind: "stale" };

const toReply = (id: number, answer: CacheAnswer): RelayReply => {
    if (answer.kind === "rows") {
        return { id, status: RelayStatus.Rows, ...answer.answer };
    }
    if (answer.kind === "unchanged") {
        return { id, status: RelayStatus.Rows, rows: [], era: answer.era, version: answer.version };
    }
    return { id, status: answer.kind === "gone" ? RelayStatus.Gone : RelayStatus.Unavailable, rows: [], era: undefined, version: 0 };
};
