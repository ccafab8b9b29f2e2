import { encodeToken } from "@pomeloturn/session-token/encodeToken";
import { buildParameterStatus } from "@pomeloturn/wire-messages/buildMessage";
import type { SessionContext } from "./sessionMessages.ts";
import type { SessionState } from "./SessionState.ts";

/** The ParameterStatus that tells the caller its session token. */
export const buildTokenStatus = (state: SessionState, context: SessionContext): Buffer => {
    const tokenKey = context.view.configuration.services[state.service]?.tokenKey ?? "";
    return buildParameterStatus("pomeloturn.token", encodeToken(state.token, state.service, tokenKey));
};
