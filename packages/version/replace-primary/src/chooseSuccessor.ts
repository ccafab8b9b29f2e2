import { isAtOrAfter } from "@pomeloturn/position-samples/PositionSamples";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import type { SurveyedInstance } from "./replacementMessages.ts";

const receivedOf = ({ state }: SurveyedInstance): LogPosition => state?.received ?? { term: 0, position: 0 };

/**
 * Chooses the instance that has received most. One that is being shut down is taken only if there is no other.
 *
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

/** The instance that leads the newest term, if any says that it leads. */
export const findPrimary = (instances: readonly SurveyedInstance[]): SurveyedInstance | undefined =>
    instances.filter(({ state }) => state?.isPrimary === true).reduce<SurveyedInstance | undefined>(
        (best, each) => best === undefined || each.state!.term > best.state!.term ? each : best,
        undefined,
    );

/** Whether an instance has received all that another one has. */
export const hasCaughtUp = (successor: SurveyedInstance, leaving: SurveyedInstance | undefined): boolean =>
    leaving?.state === undefined || isAtOrAfter(receivedOf(successor), receivedOf(leaving));

/** Commits that an instance lacks of another's; infinite across terms. */
export const missingCommits = (successor: SurveyedInstance, leaving: SurveyedInstance): number => {
    const [own, other] = [receivedOf(successor), receivedOf(leaving)];
    return own.term === other.term ? Math.max(0, other.position - own.position) : Infinity;
};
