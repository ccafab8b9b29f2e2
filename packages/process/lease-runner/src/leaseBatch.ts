import type { VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import { type LeaseMessage, LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import { pomeloturn } from "@pomeloturn/lease-messages/generated/lease";

/** A message and the group to which it refers. */
export interface GroupMessage {
    readonly group: string;
    readonly message: LeaseMessage;
}

/** Messages from one controller to another. */
export interface LeaseBatch {
    readonly from: VmIncarnation;
    readonly messages: readonly GroupMessage[];
}

type WireMessage = pomeloturn.lease.ILeaseMessage;

/** Convert a wire message to a lease message, by kind. Each returns undefined when the wire message is of another kind. */
const readers: { readonly [Kind in LeaseMessage["kind"]]: (wire: WireMessage, rowVersion: number) => LeaseMessage | undefined; } = {
    [LeaseMessageKind.Renewal]: ({ renewal }, rowVersion) =>
        renewal
            ? {
                kind: LeaseMessageKind.Renewal,
                rowVersion,
                witnessIncarnation: renewal.witnessIncarnation ?? 0,
                sentAtMs: renewal.sentAtMs ?? 0,
            }
            : undefined,
    [LeaseMessageKind.Grant]: ({ grant }, rowVersion) =>
        grant
            ? {
                kind: LeaseMessageKind.Grant,
                rowVersion,
                holderIncarnation: grant.holderIncarnation ?? 0,
                sentAtMs: grant.sentAtMs ?? 0,
                isGranted: grant.isGranted ?? false,
                knownVersion: grant.knownVersion ?? 0,
            }
            : undefined,
    [LeaseMessageKind.Prepare]: ({ prepare }, rowVersion) => (prepare ? { kind: LeaseMessageKind.Prepare, rowVersion } : undefined),
    [LeaseMessageKind.Promise]: ({ promise }, rowVersion) =>
        promise
            ? {
                kind: LeaseMessageKind.Promise,
                rowVersion,
                isPromised: promise.isPromised ?? false,
                remainingMs: promise.remainingMs ?? 0,
                knownVersion: promise.knownVersion ?? 0,
            }
            : undefined,
    [LeaseMessageKind.Release]: ({ release }, rowVersion) => (release ? { kind: LeaseMessageKind.Release, rowVersion } : undefined),
    [LeaseMessageKind.RowNotice]: ({ rowNotice }, rowVersion) =>
        rowNotice ? { kind: LeaseMessageKind.RowNotice, rowVersion, value: rowNotice.value ?? "" } : undefined,
};

/** Serializes a batch. */
export const encodeLeaseBatch = ({ from, messages }: LeaseBatch): Uint8Array =>
    pomeloturn.lease.LeaseBatch.encode({
        vm: from.vm,
        incarnation: from.incarnation,
        messages: messages.map(({ group, message }) => ({ group, rowVersion: message.rowVersion, [message.kind]: message })),
    }).finish();

/**
 * Parses a batch. Skips messages of kinds that this version does not know.
 *
 * @returns undefined when the bytes are not a valid batch
 */
export const decodeLeaseBatch = (bytes: Uint8Array): LeaseBatch | undefined => {
    try {
        const batch = pomeloturn.lease.LeaseBatch.decode(bytes);
        const from = { vm: batch.vm, incarnation: batch.incarnation };
        return { from, messages: batch.messages.flatMap(readMessage) };
    }
    catch {
        return undefined;
    }
};

const readMessage = (wire: WireMessage): GroupMessage[] => {
    const group = wire.group ?? "";
    for (const read of Object.values(readers)) {
        const message = read(wire, wire.rowVersion ?? 0);
        if (message !== undefined) {
            return [{ group, message }];
        }
    }
    return [];
};
