import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { ProbeOutcome, type SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import { PROBE_TIMEOUT_MS, SURVEY_TIMEOUT_MS } from "@pomeloturn/replace-primary/replacementTiming";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import { CommandKind, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import type { InstanceProtocol } from "@pomeloturn/types/Protocols";

/** Surveys take the connections of the most urgent rank. */
const SURVEY_RANK = 0;

/** Replies that show a living instance, whatever it made of the question. */
const isAnswer = ({ code }: InstanceReply): boolean => code !== ResultCode.BackendLost;

/** The reply, or undefined when it takes too long. What came meanwhile is read first, as timers run before sockets. */
const awaitReply = (reply: Promise<InstanceReply>, timeoutMs: number): Promise<InstanceReply | undefined> =>
    new Promise(resolve => {
        const timer = setTimeout(() => setImmediate(() => resolve(undefined)), timeoutMs);
        void reply.then(value => {
            clearTimeout(timer);
            resolve(value);
        });
    });

/** Asks an instance for a sign of life over a connection of its own, as open ones may have gone silent. */
export const probeInstance = async (connection: CommandChannel): Promise<ProbeOutcome> => {
    const reply = await awaitReply(connection.greeting, PROBE_TIMEOUT_MS);
    connection.close("probed");
    if (reply === undefined) {
        return ProbeOutcome.Silent;
    }
    return isAnswer(reply) ? ProbeOutcome.Alive : ProbeOutcome.Refused;
};

/** Asks an instance for its role and position. */
export const surveyInstance = async ({ entry, pool }: InstanceRuntime, protocol: InstanceProtocol): Promise<SurveyedInstance> => {
    const { id, isDraining } = entry;
    const lease = await pool.acquire(SURVEY_RANK, SURVEY_TIMEOUT_MS);
    if (lease === undefined) {
        return { id, isDraining, state: undefined };
    }
    const [sent] = lease.send([{ kind: CommandKind.Status }]);
    const reply = await awaitReply(sent!, SURVEY_TIMEOUT_MS);
    if (reply === undefined) {
        lease.discard("no answer to a survey in time");
        return { id, isDraining, state: undefined };
    }
    lease.release(reply.status);
    return { id, isDraining, state: reply.code === ResultCode.Ok ? protocol.decodeState(reply) : undefined };
};

/** Tells a primary to take no more writes. */
export const stepDownInstance = async ({ pool }: InstanceRuntime, term: number): Promise<void> => {
    const lease = await pool.acquire(SURVEY_RANK, SURVEY_TIMEOUT_MS);
    if (lease !== undefined) {
        const [sent] = lease.send([{ kind: CommandKind.StepDown, term }]);
        const reply = await awaitReply(sent!, SURVEY_TIMEOUT_MS);
        lease.release(reply?.status ?? "E");
    }
};
