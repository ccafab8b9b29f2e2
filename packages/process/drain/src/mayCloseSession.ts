/** Time without a message after which a session may be closed, outside a transaction and inside one. */
const QUIET_MS = 100;
const QUIET_IN_TRANSACTION_MS = 300;

/**
 * Whether a shutdown may close a session between two messages. The next statement of a session in steady use is likely to be
 * on its way and would get no answer; `decideStatement` answers it instead.
 *
 * @param quietMs time since the last message was received or answered
 */
export const mayCloseSession = (isInTransaction: boolean, quietMs: number): boolean =>
    quietMs >= (isInTransaction ? QUIET_IN_TRANSACTION_MS : QUIET_MS);
