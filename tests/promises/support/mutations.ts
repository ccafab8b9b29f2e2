import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { ChannelMutation } from "./PromiseSimulation.ts";

/** A guard that is taken away, and the promise that the check then finds broken. */
export interface MutationRow {
    readonly guard: string;
    readonly breaks: RegExp;
    readonly mutate: ChannelMutation;
}

type ReplyMapper = (reply: InstanceReply, command: InstanceCommand) => InstanceReply;

const wrap =
    (send: (channel: CommandChannel, commands: readonly InstanceCommand[]) => Promise<InstanceReply>[]): ChannelMutation => channel => ({
        startupReply: channel.startupReply,
        get isClosed(): boolean {
            return channel.isClosed;
        },
        get outstandingReplyCount(): number {
            return channel.outstandingReplyCount;
        },
        send: commands => send(channel, commands),
        close: reason => channel.close(reason),
    });

const mapCommands = (map: (command: InstanceCommand) => InstanceCommand): ChannelMutation =>
    wrap((channel, commands) => channel.send(commands.map(map)));

const mapReplies = (map: ReplyMapper): ChannelMutation =>
    wrap((channel, commands) => channel.send(commands).map((reply, index) => reply.then(value => map(value, commands[index]!))));

/** Sends something harmless in place of a command. */
const leaveOut = (kind: CommandKind): ChannelMutation =>
    mapCommands(command =>
        command.kind === kind ? { kind: CommandKind.Prepare, name: "unused", isWrite: false, shape: "unused" } : command
    );

const lostBecomes = (code: ResultCode): ChannelMutation =>
    mapReplies((reply, { kind }) => kind === CommandKind.Forward && reply.code === ResultCode.BackendLost ? { ...reply, code } : reply);

export const mutationRows: readonly MutationRow[] = [
    { guard: "values that a session has not set are cleared", breaks: /PINNED .* values/, mutate: leaveOut(CommandKind.Reset) },
    { guard: "a session's values are set before its statement", breaks: /PINNED .* values/, mutate: leaveOut(CommandKind.Set) },
    {
        guard: "prepared statements are known by kind and shape",
        breaks: /PINNED .* prepared/,
        mutate: mapCommands(command => {
            if (command.kind === CommandKind.Prepare) {
                return { ...command, name: "same" };
            }
            return command.kind === CommandKind.Forward && command.preparedName !== "" ? { ...command, preparedName: "same" } : command;
        }),
    },
    {
        guard: "reads at replicas ask for a position",
        breaks: /STALE/,
        mutate: mapCommands(command =>
            command.kind === CommandKind.Forward || command.kind === CommandKind.BeginRead ? { ...command, after: undefined } : command
        ),
    },
    { guard: "primary reads run inside a transaction", breaks: /STALE|PINNED/, mutate: leaveOut(CommandKind.Begin) },
    { guard: "a write whose answer was lost is not repeated", breaks: /TWICE|REFUSED/, mutate: lostBecomes(ResultCode.QueueFull) },
    { guard: "a lost answer promises nothing", breaks: /TWICE|REFUSED/, mutate: lostBecomes(ResultCode.NotPrimary) },
    {
        guard: "a refused BEGIN is waited for",
        breaks: /STALE|PINNED/,
        mutate: mapReplies((reply, { kind }) => kind === CommandKind.Begin ? { ...reply, code: ResultCode.Ok } : reply),
    },
    {
        guard: "a connection goes back only outside a transaction",
        breaks: /PINNED|STALE/,
        mutate: channel => leaveOut(CommandKind.Rollback)(mapReplies(reply => ({ ...reply, status: TransactionStatus.Idle }))(channel)),
    },
];
