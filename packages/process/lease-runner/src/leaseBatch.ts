import type { VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import { type LeaseMessage, LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import { pomeloturn } from "@pomeloturn/lease-messages/generated/lease";

/** A message with the group that it is about. */
export interface GroupMessage {
    readonly group: string;
    readonly message: LeaseMessage;
}

/** The messages of one controller for another. */
export interface LeaseBatch {
    readonly from: VmIncarnation;
    readonly messages: readonly GroupMessage[];
}

type Wire = pomeloturn.lease.ILeaseMessage;

/** Builds the message that a wire message carries, when it carries that kind. */
const readers: { readonly [Kind in LeaseMessage["kind"]]: (wire: Wire, rowVersion: number) => LeaseMessage | undefined; } = {
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

/** The bytes of a batch. */
export const encodeLeaseBatch = ({ from, messages }: LeaseBatch): Uint8Array =>
    pomeloturn.lease.LeaseBatch.encode({
        vm: from.vm,
        incarnation: from.incarnation,
        messages: messages.map(({ group, message }) => ({ group, rowVersion: message.rowVersion, [message.kind]: message })),
    }).finish();

/**
 * Reads a batch. Messages of kinds that this version does not know are left out.
 *
 * @returns undefined when the bytes are no batch
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

const readMessage = (wire: Wire): GroupMessage[] => {
    const group = wire.group ?? "";
    for (const read of Object.values(readers)) {
        const message = read(wire, wire.rowVersion ?? 0);
        if (message !== undefined) {
            return [{ group, message }];
        }
    }
    return [];
};
