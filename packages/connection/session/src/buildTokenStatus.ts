import { encodeToken } from "@pomeloturn/session-token/encodeToken";
import { buildParameterStatus } from "@pomeloturn/wire-messages/buildMessage";
import type { SessionContext } from "./sessionMessages.ts";
import type { SessionState } from "./SessionState.ts";

/** Builds the ParameterStatus message that reports the session token to the caller. */
export const buildTokenStatus = (state: SessionState, context: SessionContext): Buffer => {
    const tokenKey = context.view.configuration.services[state.service]?.tokenKey ?? "";
    return buildParameterStatus("pomeloturn.token", encodeToken(state.token, state.service, tokenKey));
};
