import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { decodeToken } from "@pomeloturn/session-token/decodeToken";
import { mergeTokens } from "@pomeloturn/session-token/mergePosition";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import { readParse } from "@pomeloturn/wire-messages/preparedStatement";
import { readQueryText } from "@pomeloturn/wire-messages/readMessage";
import { answerCommand } from "./answerCommand.ts";
import { findService } from "./findAttributes.ts";
import { findAttributeName, readSetStatement } from "./readAttributes.ts";
import { type SessionAction, SessionActionKind, type SessionContext } from "./sessionMessages.ts";
import type { RequestUnit, SessionState } from "./SessionState.ts";

const SETTING_PREFIX = "pomeloturn.";
const RESET_STATEMENT_PATTERN = /^\s*(discard|deallocate|reset)\b/i;

/** Settings that drivers make when they connect, with the accepted values in lower case. Undefined accepts any value. */
const ACCEPTED_SETTING_VALUES: Readonly<Record<string, readonly string[] | undefined>> = {
    application_name: undefined,
    client_min_messages: undefined,
    extra_float_digits: ["1", "2", "3"],
    client_encoding: ["utf8", "utf-8", "unicode"],
    datestyle: ["iso", "iso, mdy"],
    timezone: ["utc"],
    standard_conforming_strings: ["on"],
};

/**
 * Applies a SET, RESET, DISCARD or DEALLOCATE statement without a backend server, whose connections are shared by
 * sessions.
 *
 * @throws PomeloturnError with `UnsupportedSessionSetting`, `UnknownService`, or as `decodeToken`
 */
export const applySetting = (state: SessionState, unit: RequestUnit, context: SessionContext): SessionAction[] => {
    const text = findStatementText(unit);
    const discard = RESET_STATEMENT_PATTERN.exec(text)?.[1]?.toUpperCase();
    if (discard !== undefined) {
        return reply(state, unit, text.trim().replace(/;$/, "").toUpperCase());
    }
    const setting = readSetStatement(text);
    if (setting === undefined) {
        throw PomeloturnError.create(ResultCode.UnsupportedSessionSetting, text.slice(0, 60));
    }
    applyValue(state, setting.name, setting.value, context);
    return reply(state, unit, "SET");
};

const findStatementText = (unit: RequestUnit): string => {
    for (const message of unit.messages) {
        if (message[0] === FrontendType.Query) {
            return readQueryText(message);
        }
        if (message[0] === FrontendType.Parse) {
            return readParse(message).text;
        }
    }
    return "";
};

const applyValue = (state: SessionState, name: string, value: string, context: SessionContext): void => {
    const settingName = name.startsWith(SETTING_PREFIX) ? name.slice(SETTING_PREFIX.length) : undefined;
    const attribute = findAttributeName(settingName ?? "");
    if (attribute !== undefined) {
        state.attributes = { ...state.attributes, [attribute]: value };
        return;
    }
    if (settingName === "token") {
        const { tokenKey } = findService(state.service, context.view);
        state.token = mergeTokens(state.token, decodeToken(value, state.service, tokenKey));
        return;
    }
    const isKnown = Object.hasOwn(ACCEPTED_SETTING_VALUES, name);
    if (!isKnown || ACCEPTED_SETTING_VALUES[name]?.includes(value.toLowerCase()) === false) {
        throw PomeloturnError.create(ResultCode.UnsupportedSessionSetting, `${name} = ${value}`);
    }
};

const reply = (state: SessionState, unit: RequestUnit, tag: string): SessionAction[] => [
    { kind: SessionActionKind.Reply, messages: answerCommand(state, unit, tag) },
];
