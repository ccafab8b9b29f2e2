import { withTimeout } from "@pomeloturn/clock/withTimeout";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { ProbeOutcome, type SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { PROBE_TIMEOUT_MS, SURVEY_TIMEOUT_MS } from "@pomeloturn/replace-primary/replacementTiming";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { InstanceProtocol } from "@pomeloturn/types/Protocols";

/** Surveys use connections with the most urgent rank. */
const SURVEY_RANK = 0;

/** Whether a reply comes from the instance, with any result, and not from another one that has its address now. */
const isFromInstance = ({ code }: InstanceReply): boolean => code !== ResultCode.BackendLost && code !== ResultCode.WrongInstance;

/** Sends a command over a pooled connection and closes it on a timeout. @returns undefined on a timeout or without a free connection */
const sendCommand = async ({ pool }: InstanceRuntime, command: InstanceCommand): Promise<InstanceReply | undefined> => {
    const pooledConnection = await pool.acquire(SURVEY_RANK, SURVEY_TIMEOUT_MS);
    if (pooledConnection === undefined) {
        return undefined;
    }
    const [sent] = pooledConnection.send([command]);
    const reply = await withTimeout(sent!, SURVEY_TIMEOUT_MS);
    if (reply === undefined) {
        pooledConnection.discard(`no answer to a survey command within ${SURVEY_TIMEOUT_MS} ms`);
        return undefined;
    }
    pooledConnection.release(reply.status);
    return reply;
};

/** Checks over a new connection whether an instance is alive, since open connections may be dead. Closes the connection. */
export const probeInstance = async (connection: CommandChannel): Promise<ProbeOutcome> => {
    const reply = await withTimeout(connection.startupReply, PROBE_TIMEOUT_MS);
    connection.close("probed");
    if (reply === undefined) {
        return ProbeOutcome.Silent;
    }
    return isFromInstance(reply) ? ProbeOutcome.Alive : ProbeOutcome.Refused;
};

/** Queries the role and position of an instance; `state` is undefined when it did not report them. */
export const surveyInstance = async (instance: InstanceRuntime, protocol: InstanceProtocol): Promise<SurveyedInstance> => {
    const { id, isDraining } = instance.entry;
    const reply = await sendCommand(instance, { kind: CommandKind.Status });
    return { id, isDraining, state: reply?.code === ResultCode.Ok ? protocol.decodeState(reply) : undefined };
};

/** Orders a primary to accept no more writes in `term`. Ignores its reply. */
export const stepDownInstance = async (instance: InstanceRuntime, term: number): Promise<void> => {
    await sendCommand(instance, { kind: CommandKind.StepDown, term });
};
