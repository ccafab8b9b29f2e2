import { within } from "@pomeloturn/clock/within";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { ProbeOutcome, type SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { PROBE_TIMEOUT_MS, SURVEY_TIMEOUT_MS } from "@pomeloturn/replace-primary/replacementTiming";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { InstanceProtocol } from "@pomeloturn/types/Protocols";

/** Surveys take the connections of the most urgent rank. */
const SURVEY_RANK = 0;

/** Replies that show a living instance, whatever it made of the question. */
const isAnswer = ({ code }: InstanceReply): boolean => code !== ResultCode.BackendLost;

/** Asks over a pooled connection, which is closed when the answer does not come in time. @returns undefined without an answer */
const ask = async ({ pool }: InstanceRuntime, command: InstanceCommand): Promise<InstanceReply | undefined> => {
    const lease = await pool.acquire(SURVEY_RANK, SURVEY_TIMEOUT_MS);
    if (lease === undefined) {
        return undefined;
    }
    const [sent] = lease.send([command]);
    const reply = await within(sent!, SURVEY_TIMEOUT_MS);
    if (reply === undefined) {
        lease.discard("no answer to a survey in time");
        return undefined;
    }
    lease.release(reply.status);
    return reply;
};

/** Asks an instance for a sign of life over a connection of its own, as open ones may have gone silent. */
export const probeInstance = async (connection: CommandChannel): Promise<ProbeOutcome> => {
    const reply = await within(connection.greeting, PROBE_TIMEOUT_MS);
    connection.close("probed");
    if (reply === undefined) {
        return ProbeOutcome.Silent;
    }
    return isAnswer(reply) ? ProbeOutcome.Alive : ProbeOutcome.Refused;
};

/** Asks an instance for its role and position. */
export const surveyInstance = async (instance: InstanceRuntime, protocol: InstanceProtocol): Promise<SurveyedInstance> => {
    const { id, isDraining } = instance.entry;
    const reply = await ask(instance, { kind: CommandKind.Status });
    return { id, isDraining, state: reply?.code === ResultCode.Ok ? protocol.decodeState(reply) : undefined };
};

/** Tells a primary to take no more writes. */
export const stepDownInstance = async (instance: InstanceRuntime, term: number): Promise<void> => {
    await ask(instance, { kind: CommandKind.StepDown, term });
};
