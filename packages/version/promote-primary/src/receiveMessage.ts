import type { VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import {
    type Grant,
    type LeaseMessage,
    LeaseMessageKind,
    type Prepare,
    type PromiseAnswer,
    type Release,
    type Renewal,
    type RowNotice,
} from "@pomeloturn/group-lease/LeaseMessage";
import { CLOCK_RATE_MARGIN } from "@pomeloturn/group-lease/leaseTiming";
import { grantRenewal, promiseVersion, releaseVersion } from "@pomeloturn/group-lease/witness";
import { GroupActionKind } from "./GroupAction.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { grantKey } from "./leaseExpiryForVersion.ts";
import { ELECTION_DEFERRAL_MS } from "./promotionTiming.ts";
import { receiveTableRow, sendRow } from "./rowChange.ts";

type Handler<Message> = (state: GroupState, step: Step, from: VmIncarnation, message: Message) => void;

const knownVersion = (state: GroupState): number => state.stored?.version ?? 0;

/** Schedules a read of the row for the next tick when another VM knows a newer version. */
const scheduleReadIfNewer = (state: GroupState, version: number): void => {
    if (version > knownVersion(state)) {
        state.rowReadAtMs = -Infinity;
    }
};

const receiveRenewal: Handler<Renewal> = (state, step, from, { rowVersion, witnessIncarnation, sentAtMs }) => {
    if (rowVersion >= knownVersion(state)) {
        state.witness.holderHeardAtMs = step.nowMs;
    }
    else {
        // A restored table service may have lost the newer row, so that the sender cannot read it there.
        sendRow(state, step, from.vm);
    }
    const isNamed = witnessIncarnation === step.self.incarnation;
    const isGranted = grantRenewal(state.witness, rowVersion, isNamed, step.guards, step.nowMs);
    const message: Grant = {
        kind: LeaseMessageKind.Grant,
        rowVersion,
        holderIncarnation: from.incarnation,
        sentAtMs,
        isGranted,
        knownVersion: knownVersion(state),
    };
    step.actions.push({ kind: GroupActionKind.Send, vm: from.vm, message });
};

const receiveGrant: Handler<Grant> = (state, step, from, message) => {
    const { rowVersion, holderIncarnation, sentAtMs, isGranted } = message;
    scheduleReadIfNewer(state, message.knownVersion);
    if (holderIncarnation !== step.self.incarnation) {
        return;
    }
    if (message.knownVersion < knownVersion(state) && rowVersion === knownVersion(state)) {
        sendRow(state, step, from.vm);
    }
    const namedWitness = state.stored?.row.witnesses.find(({ vm }) => vm === from.vm) ?? from;
    if (!isGranted) {
        state.isRenewalRefused ||= rowVersion === knownVersion(state) && namedWitness.incarnation === from.incarnation;
        return;
    }
    const key = grantKey(rowVersion, step.guards.isIncarnationChecked ? from : namedWitness);
    const countedFromMs = step.guards.isCountedFromSend ? sentAtMs : step.nowMs;
    state.grants.set(key, Math.max(state.grants.get(key) ?? -Infinity, countedFromMs));
};

const receivePrepare: Handler<Prepare> = (state, step, from, { rowVersion }) => {
    const { stored } = state;
    const isKnown = stored?.version === rowVersion;
    const isNamed = isKnown
        && stored.row.witnesses.some(({ vm, incarnation }) => vm === step.self.vm && incarnation === step.self.incarnation);
    const remainingMs = rowVersion < knownVersion(state)
        ? undefined
        : promiseVersion(state.witness, rowVersion, isNamed, step.guards, step.nowMs);
    if (rowVersion < knownVersion(state)) {
        sendRow(state, step, from.vm);
    }
    if (remainingMs !== undefined && from.vm !== step.self.vm) {
        state.electionDeferredUntilMs = step.nowMs + ELECTION_DEFERRAL_MS;
    }
    const message: PromiseAnswer = {
        kind: LeaseMessageKind.Promise,
        rowVersion,
        isPromised: remainingMs !== undefined,
        remainingMs: remainingMs ?? 0,
        knownVersion: knownVersion(state),
    };
    step.actions.push({ kind: GroupActionKind.Send, vm: from.vm, message });
};

const receivePromise: Handler<PromiseAnswer> = (state, step, from, message) => {
    scheduleReadIfNewer(state, message.knownVersion);
    const { election, stored } = state;
    const isWitness = stored?.row.witnesses.some(({ vm }) => vm === from.vm) === true;
    if (election === undefined || message.rowVersion !== knownVersion(state) || !message.isPromised || !isWitness) {
        return;
    }
    const expiresAtMs = step.nowMs + message.remainingMs * (1 + CLOCK_RATE_MARGIN);
    election.promisedLeaseEndMs.set(from.vm, Math.min(election.promisedLeaseEndMs.get(from.vm) ?? Infinity, expiresAtMs));
};

const receiveRelease: Handler<Release> = (state, step, from, { rowVersion }) => {
    if (rowVersion === knownVersion(state) && state.stored?.row.holder.vm === from.vm) {
        releaseVersion(state.witness, rowVersion, step.nowMs);
    }
    else if (rowVersion < knownVersion(state)) {
        sendRow(state, step, from.vm);
    }
};

const receiveRowNotice: Handler<RowNotice> = (state, step, _from, { rowVersion, value }) => {
    receiveTableRow(state, step, { key: "", version: rowVersion, value });
};

const handlers: { readonly [Kind in LeaseMessage["kind"]]: Handler<Extract<LeaseMessage, { readonly kind: Kind; }>>; } = {
    [LeaseMessageKind.Renewal]: receiveRenewal,
    [LeaseMessageKind.Grant]: receiveGrant,
    [LeaseMessageKind.Prepare]: receivePrepare,
    [LeaseMessageKind.Promise]: receivePromise,
    [LeaseMessageKind.Release]: receiveRelease,
    [LeaseMessageKind.RowNotice]: receiveRowNotice,
};

/** Processes a message from another VM's controller or from this VM. */
export const receiveMessage = (state: GroupState, step: Step, from: VmIncarnation, message: LeaseMessage): void =>
    (handlers[message.kind] as Handler<LeaseMessage>)(state, step, from, message);
