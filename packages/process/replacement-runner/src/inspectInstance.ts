import { withTimeout } from "@pomeloturn/clock/withTimeout";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { ProbeOutcome, type SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { PROBE_TIMEOUT_MS, SURVEY_TIMEOUT_MS } from "@pomeloturn/replace-primary/replacementTiming";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { InstanceProtocol } from "@pomeloturn/types/Protocols";
import { setTimeout as delay } from "node:timers/promises";

/** Surveys use connections with the most urgent rank. */
const SURVEY_RANK = 0;
/** Attempts to query an instance that has no free slot, and the pause between them. */
const BUSY_ATTEMPTS = 5;
const BUSY_PAUSE_MS = 15;

/** Whether a reply comes from the instance, with any result, and not from another one that has its address now. */
const isFromInstance = ({ code }: InstanceReply): boolean => code !== ResultCode.BackendLost && code !== ResultCode.WrongInstance;

/** Sends commands over a pooled connection and closes it on a timeout. @returns undefined on a timeout or without a free connection */
const sendCommands = async ({ pool }: InstanceRuntime, commands: readonly InstanceCommand[]): Promise<InstanceReply[] | undefined> => {
    const pooledConnection = await pool.acquire(SURVEY_RANK, SURVEY_TIMEOUT_MS);
    if (pooledConnection === undefined) {
        return undefined;
    }
    const replies = await withTimeout(Promise.all(pooledConnection.send(commands)), SURVEY_TIMEOUT_MS);
    if (replies === undefined) {
        pooledConnection.discard(`no answer to a survey command within ${SURVEY_TIMEOUT_MS} ms`);
        return undefined;
    }
    pooledConnection.release(replies.at(-1)!.status);
    return replies;
};

/** Sends commands again, `BUSY_ATTEMPTS` times in all, while the instance has no free slot for the last one. */
const sendUntilNotBusy = async (instance: InstanceRuntime, commands: readonly InstanceCommand[]): Promise<InstanceReply[] | undefined> => {
    let replies = await sendCommands(instance, commands);
    for (let attempts = 1; attempts < BUSY_ATTEMPTS && replies?.at(-1)?.code === ResultCode.QueueFull; attempts++) {
        await delay(BUSY_PAUSE_MS);
        replies = await sendCommands(instance, commands);
    }
    return replies;
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

/** Whether a replica has stopped receiving, or does not know the command and so may receive on. */
const isPausedBy = ({ code }: InstanceReply): boolean => code === ResultCode.Ok || code === ResultCode.MalformedMessage;

/**
 * Queries the role and position of an instance; `state` is undefined when it did not report them.
 *
 * @param pauseTerm term for which it is told to stop receiving first, if it is a replica; undefined to leave it receiving
 */
export const surveyInstance = async (
    instance: InstanceRuntime,
    protocol: InstanceProtocol,
    pauseTerm: number | undefined,
): Promise<SurveyedInstance> => {
    const { id, isDraining } = instance.entry;
    const pauses: InstanceCommand[] = pauseTerm === undefined ? [] : [{ kind: CommandKind.Pause, term: pauseTerm }];
    const replies = await sendUntilNotBusy(instance, [...pauses, { kind: CommandKind.Status }]);
    const reply = replies?.at(-1);
    const state = reply?.code === ResultCode.Ok ? protocol.decodeState(reply) : undefined;
    const isPaused = pauseTerm !== undefined && state !== undefined && !state.isPrimary && state.term < pauseTerm
        && isPausedBy(replies![0]!);
    return { id, isDraining, state, isPaused };
};

/** Orders a primary to accept no more writes in `term`. Ignores its reply. */
export const stepDownInstance = async (instance: InstanceRuntime, term: number): Promise<void> => {
    await sendCommands(instance, [{ kind: CommandKind.StepDown, term }]);
};

/** Lets a replica receive again. @returns whether it has confirmed */
export const resumeInstance = async (instance: InstanceRuntime): Promise<boolean> =>
    (await sendCommands(instance, [{ kind: CommandKind.Resume }]))?.[0]?.code === ResultCode.Ok;
