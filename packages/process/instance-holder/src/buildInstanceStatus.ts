import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { isLeaseValid } from "./checkRequest.ts";
import { findTermAt } from "./findTermAt.ts";
import type { InstanceSample } from "./InstanceProber.ts";

const NO_POSITION = { term: 0, position: 0 };

/** State of an instance as its holder sees it. */
export interface InstanceState {
    readonly group: string;
    readonly instance: string;
    readonly sample: InstanceSample | undefined;
    readonly isReachable: boolean;
    readonly freeSlots: number;
    readonly queued: readonly number[];
    readonly credits: readonly number[];
    readonly serviceTimeUs: number;
}

/**
 * Builds the status of an instance for the proxies that request it.
 *
 * A position is reported as the primary's only when this VM's lease is still valid after the position was read:
 * otherwise another primary may have acknowledged writes that it does not cover.
 *
 * @param askedAtMs monotonic time at which the status request arrived, in milliseconds
 */
export const buildInstanceStatus = (
    state: InstanceState,
    view: GroupView | undefined,
    askedAtMs: number,
    nowMs: number,
): pomeloturn.peer.IInstanceStatus => {
    const { group, instance, sample, isReachable, freeSlots, serviceTimeUs } = state;
    const position = sample?.position;
    const base = {
        group,
        instance,
        isReachable,
        freeSlots,
        queued: [...state.queued],
        credits: [...state.credits],
        serviceTimeUs,
    };
    if (sample === undefined || position === undefined || view === undefined) {
        return { ...base, replayed: NO_POSITION, primarySample: NO_POSITION, primarySampleAgeMs: 0 };
    }
    const isLeasedPrimary = view.primary === instance && !sample.isReplica && isLeaseValid(view, nowMs);
    const replayed = { term: isLeasedPrimary ? view.term : findTermAt(view.history, position), position };
    return {
        ...base,
        replayed,
        primarySample: isLeasedPrimary ? replayed : NO_POSITION,
        primarySampleAgeMs: Math.max(0, Math.ceil(askedAtMs - sample.sentAtMs)),
    };
};
