import { isAtOrAfter } from "@pomeloturn/position-samples/PositionSamples";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import type { SurveyedInstance } from "./replacementMessages.ts";

const receivedOf = ({ state }: SurveyedInstance): LogPosition => state?.received ?? { term: 0, position: 0 };

/**
 * Chooses the replica with the highest received position. A draining replica is chosen only if no other has answered.
 *
 * @param excludedId instance that must not be chosen
 * @returns undefined when no replica has answered
 */
export const chooseSuccessor = (instances: readonly SurveyedInstance[], excludedId: string | undefined): SurveyedInstance | undefined => {
    const answered = instances.filter(({ id, state }) => id !== excludedId && state !== undefined && !state.isPrimary);
    const staying = answered.filter(({ isDraining }) => !isDraining);
    return (staying.length > 0 ? staying : answered).reduce<SurveyedInstance | undefined>(
        (best, each) => best !== undefined && isAtOrAfter(receivedOf(best), receivedOf(each)) ? best : each,
        undefined,
    );
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
