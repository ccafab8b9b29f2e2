import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { CommandKind, type InstanceCommand, type InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { ChannelMutation } from "./PromiseSimulation.ts";

/** A guard that a mutation disables, and the violation that the check then reports. */
export interface MutationRow {
    readonly guard: string;
    readonly expectedViolation: RegExp;
    readonly mutate: ChannelMutation;
}

type ReplyMapper = (reply: InstanceReply, command: InstanceCommand) => InstanceReply;

const wrapChannel =
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
    wrapChannel((channel, commands) => channel.send(commands.map(map)));

const mapReplies = (map: ReplyMapper): ChannelMutation =>
    wrapChannel((channel, commands) => channel.send(commands).map((reply, index) => reply.then(value => map(value, commands[index]!))));

/** Replaces commands of a kind by a command without effect, so that the number of replies stays the same. */
const suppressCommand = (kind: CommandKind): ChannelMutation =>
    mapCommands(command =>
        command.kind === kind ? { kind: CommandKind.Prepare, name: "unused", isWrite: false, shape: "unused" } : command
    );

const replaceLostReplyCode = (code: ResultCode): ChannelMutation =>
    mapReplies((reply, { kind }) => kind === CommandKind.Forward && reply.code === ResultCode.BackendLost ? { ...reply, code } : reply);

export const mutationRows: readonly MutationRow[] = [
    {
        guard: "settings that the session has not made are reset",
        expectedViolation: /PINNED .* values/,
        mutate: suppressCommand(CommandKind.Reset),
    },
    {
        guard: "the session's settings are applied before its statement",
        expectedViolation: /PINNED .* values/,
        mutate: suppressCommand(CommandKind.Set),
    },
    {
        guard: "prepared statements are identified by kind and shape",
        expectedViolation: /PINNED .* prepared/,
        mutate: mapCommands(command => {
            if (command.kind === CommandKind.Prepare) {
                return { ...command, name: "same" };
            }
            return command.kind === CommandKind.Forward && command.preparedName !== "" ? { ...command, preparedName: "same" } : command;
        }),
    },
    {
        guard: "reads at replicas require a position",
        expectedViolation: /STALE/,
        mutate: mapCommands(command =>
            command.kind === CommandKind.Forward || command.kind === CommandKind.BeginRead ? { ...command, after: undefined } : command
        ),
    },
    { guard: "primary reads run inside a transaction", expectedViolation: /STALE|PINNED/, mutate: suppressCommand(CommandKind.Begin) },
    {
        guard: "a write whose reply was lost is not retried",
        expectedViolation: /TWICE|REFUSED/,
        mutate: replaceLostReplyCode(ResultCode.QueueFull),
    },
    {
        guard: "a write whose reply was lost is not reported as not run",
        expectedViolation: /TWICE|REFUSED/,
        mutate: replaceLostReplyCode(ResultCode.NotPrimary),
    },
    {
        guard: "a refused BEGIN is not taken for a success",
        expectedViolation: /STALE|PINNED/,
        mutate: mapReplies((reply, { kind }) => kind === CommandKind.Begin ? { ...reply, code: ResultCode.Ok } : reply),
    },
    {
        guard: "a connection is released only outside a transaction",
        expectedViolation: /PINNED|STALE/,
        mutate: channel =>
            suppressCommand(CommandKind.Rollback)(mapReplies(reply => ({ ...reply, status: TransactionStatus.Idle }))(channel)),
    },
];
