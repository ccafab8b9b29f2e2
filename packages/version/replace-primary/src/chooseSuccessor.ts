import { isAtOrAfter } from "@pomeloturn/position-samples/PositionSamples";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import type { SurveyedInstance } from "./replacementMessages.ts";

const receivedOf = ({ state }: SurveyedInstance): LogPosition => state?.received ?? { term: 0, position: 0 };

/** The instance with the highest received position, the first of several. */
const findNewest = (instances: readonly SurveyedInstance[]): SurveyedInstance | undefined =>
    instances.reduce<SurveyedInstance | undefined>(
        (best, each) => best !== undefined && isAtOrAfter(receivedOf(best), receivedOf(each)) ? best : each,
        undefined,
    );

/**
 * Chooses the replica with the highest received position. A draining replica is chosen only if no other has answered or, where
 * commits are acknowledged once replicas have received them, if no other has received as much.
 *
 * @param excludedId instance that must not be chosen
 * @param syncReplicas number of replicas that have to receive a commit before it is acknowledged
 * @returns undefined when no replica has answered
 */
export const chooseSuccessor = (
    instances: readonly SurveyedInstance[],
    excludedId: string | undefined,
    syncReplicas: number,
): SurveyedInstance | undefined => {
    const answered = instances.filter(({ id, state }) => id !== excludedId && state !== undefined && !state.isPrimary);
    const newest = findNewest(answered);
    const staying = findNewest(answered.filter(({ isDraining }) => !isDraining));
    const isBehind = staying === undefined || newest === undefined || !isAtOrAfter(receivedOf(staying), receivedOf(newest));
    return staying !== undefined && (syncReplicas === 0 || !isBehind) ? staying : newest;
};

/**
 * Whether the instances that have stopped receiving include one of the holders of each commit that can have been
 * acknowledged: the primary and `syncReplicas` replicas hold it, so that few enough instances may be missing.
 *
 * @param lastLeaderId the last known primary
 */
export const holdsEachCommit = (
    instances: readonly SurveyedInstance[],
    lastLeaderId: string | undefined,
    syncReplicas: number,
): boolean => {
    const pausedCount = instances.filter(({ state, isPaused }) => isPaused && state !== undefined && !state.isPrimary).length;
    // The last primary is one of the holders, whether or not it is still listed.
    const memberCount = instances.length + (instances.some(({ id }) => id === lastLeaderId) ? 0 : 1);
    return pausedCount >= Math.max(1, memberCount - syncReplicas);
};

/** Returns the instance that reports itself as the primary, in the highest term if there are several. */
export const findPrimary = (instances: readonly SurveyedInstance[]): SurveyedInstance | undefined =>
    instances.filter(({ state }) => state?.isPrimary === true).reduce<SurveyedInstance | undefined>(
        (best, each) => best === undefined || each.state!.term > best.state!.term ? each : best,
        undefined,
    );

/** Whether the successor has received everything that the leaving instance has; true when the leaving instance did not answer. */
export const hasCaughtUp = (successor: SurveyedInstance, leaving: SurveyedInstance | undefined): boolean =>
    leaving?.state === undefined || isAtOrAfter(receivedOf(successor), receivedOf(leaving));

/** Returns the number of commits that the successor lacks; `Infinity` when the terms differ. */
export const countMissingCommits = (successor: SurveyedInstance, leaving: SurveyedInstance): number => {
    const [own, other] = [receivedOf(successor), receivedOf(leaving)];
    return own.term === other.term ? Math.max(0, other.position - own.position) : Infinity;
};
