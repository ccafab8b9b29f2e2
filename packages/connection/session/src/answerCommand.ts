import {
    buildCommandComplete,
    buildEmptyMessage,
    buildParameterDescription,
    buildReadyForQuery,
} from "@pomeloturn/wire-messages/buildMessage";
import { BackendType, FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import { readStatementOrPortal } from "@pomeloturn/wire-messages/preparedStatement";
import type { RequestUnit, SessionState } from "./SessionState.ts";

type MessageAnswer = (message: Buffer, tag: string) => readonly Buffer[];

const answers: Readonly<Record<number, MessageAnswer>> = {
    [FrontendType.Query]: (_message, tag) => [buildCommandComplete(tag)],
    [FrontendType.Parse]: () => [buildEmptyMessage(BackendType.ParseComplete)],
    [FrontendType.Bind]: () => [buildEmptyMessage(BackendType.BindComplete)],
    [FrontendType.Close]: () => [buildEmptyMessage(BackendType.CloseComplete)],
    [FrontendType.Describe]: message => {
        const noData = buildEmptyMessage(BackendType.NoData);
        return readStatementOrPortal(message).kind === "S" ? [buildParameterDescription(), noData] : [noData];
    },
    [FrontendType.Execute]: (_message, tag) => [buildCommandComplete(tag)],
};

/** Builds the complete answer to a unit that runs a command without rows, as a backend server would. @param tag command tag */
export const answerCommand = (state: SessionState, unit: RequestUnit, tag: string): Buffer[] => {
    const injectedParses = [...unit.injectedParses];
    const messages = unit.messages.flatMap(message => {
        const isInjected = message[0] === FrontendType.Parse && injectedParses.shift() === true;
        return isInjected ? [] : answers[message[0]!]?.(message, tag) ?? [];
    });
    return unit.isFlush ? messages : [...messages, buildReadyForQuery(state.status)];
};
